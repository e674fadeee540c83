package org.bilberryhead.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import java.io.IOException
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** The longest body that the configuration allows. */
private const val BODY_BYTES = 4 * 1024 * 1024

/** Together their bodies are larger than the heap of the entry. */
private const val LARGE_REQUESTS = 41

private val smallRequestLimit = 800.milliseconds
private val readinessLimit = 1.seconds

/** An entry as a process with an endpoint that answers a request once it has read its body. */
private class LargeBodies : AutoCloseable {
    private val endpoint: ScriptedEndpoint = ScriptedEndpoint {
        forgetRequests()
        respond(body = "whole")
    }
    private val store = LoopbackStore(
        LoopbackDeployment.CONFIGURATION.replace(""""max_body_bytes":1000""", """"max_body_bytes":$BODY_BYTES"""),
        mapOf("p" to listOf(endpoint)),
    )
    private val settings = settingsOfProcess(store.address)
    private val callers = Executors.newCachedThreadPool()
    val entry =
        EntryProcess(settings, listOf("-Dio.netty.allocator.type=unpooled", "-Dio.netty.noPreferDirect=true"))

    init {
        entry.awaitReady()
    }

    /** The process of the test has no room for all bodies either. */
    private fun forgetRequests() {
        endpoint.awaitRequest()
        endpoint.requests.clear()
    }

    /** Sends all large bodies at once; the returned function waits for the outcomes. */
    fun sendAtOnce(): () -> List<String> {
        val calls = (1..LARGE_REQUESTS).map { callers.submit(Callable { send("l$it", BODY_BYTES) }) }
        return { calls.map { it.get(60, TimeUnit.SECONDS) } }
    }

    /** Sends a body of [length] bytes; returns the status of the answer, with its time to try again, or the failure. */
    fun send(id: String, length: Int): String = try {
        Socket(HOST, settings.callers.port).use { socket ->
            socket.soTimeout = 35_000
            val output = socket.getOutputStream()
            output.writeText(
                "POST /long/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\nX-Api-Key: k\r\n" +
                    "Content-Length: $length\r\n\r\n",
            )
            val part = ByteArray(minOf(length, PART_BYTES))
            repeat(length / part.size) { output.write(part) }
            val response = socket.getInputStream().readMessage()
            "${response?.status} ${response?.header("Retry-After")?.let { "later" } ?: response?.body}"
        }
    } catch (failure: IOException) {
        failure.toString()
    }

    /** Returns the time that [block] takes. */
    fun timeOf(block: () -> Unit): Duration = TimeSource.Monotonic.markNow().also { block() }.elapsedNow()

    override fun close() {
        callers.shutdownNow()
        entry.close()
        store.close()
        endpoint.close()
    }

    private companion object {
        const val PART_BYTES = 64 * 1024
    }
}

class BodyMemoryTest :
    DescribeSpec({
        describe("callers that send the largest bodies") {
            it("at once do not fill the memory, are all answered, and do not hold up small requests") {
                LargeBodies().use { bodies ->
                    val outcomes = bodies.sendAtOnce()
                    val late = (1..20).mapNotNull { number ->
                        var outcome = ""
                        var isReady = false
                        val time = bodies.timeOf { outcome = bodies.send("s$number", length = 600) }
                        val readinessTime = bodies.timeOf { isReady = bodies.entry.isReady() }
                        val isInTime = outcome == "200 whole" && time <= smallRequestLimit
                        if (isInTime && isReady && readinessTime <= readinessLimit) {
                            null
                        } else {
                            "$number: $outcome after $time, ready: $isReady after $readinessTime"
                        }
                    }
                    val answers = outcomes()
                    withClue(answers.groupingBy { it }.eachCount().toString()) {
                        late.shouldBeEmpty()
                        answers.filterNot { it == "200 whole" || it == "503 later" }.shouldBeEmpty()
                        answers shouldHaveSize LARGE_REQUESTS
                        answers.count { it == "200 whole" } shouldBeGreaterThan 0
                    }
                    bodies.entry.useOutputLines { lines -> lines.count { "OutOfMemoryError" in it } } shouldBe 0
                    bodies.send("after", BODY_BYTES) shouldBe "200 whole"
                }
            }

            it("one after another are served") {
                LargeBodies().use { bodies ->
                    val answers = (1..LARGE_REQUESTS).map { bodies.send("c$it", BODY_BYTES) }
                    withClue(answers.groupingBy { it }.eachCount().toString()) {
                        answers.count { it == "200 whole" } shouldBeGreaterThan LARGE_REQUESTS / 2
                    }
                }
            }
        }
    })
