package org.bilberryhead.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Number of responses that stay incomplete at once. Together they are larger than the heap of the entry. */
private const val STALLED_RESPONSES = 150

/** Bytes of each of them: less than an entry refuses in a single response. */
private const val STALLED_BYTES = 1_000_000

/** Requests of callers whose responses are sound, which are sent while the others are incomplete. */
private const val SOUND_REQUESTS = 20

private const val SOUND_REQUEST_MILLIS = 1_000

/** An entry as a process with an endpoint, most of whose responses begin and never end. */
private class StalledResponses(private val path: String, stall: ScriptedEndpoint.Exchange.() -> Unit) : AutoCloseable {
    private val stalled = AtomicInteger()
    private val allStalled = CountDownLatch(STALLED_RESPONSES)
    private val sockets = mutableListOf<Socket>()
    private val endpoint = ScriptedEndpoint {
        if ("/lookup/sound" in request.head) {
            respond(body = "whole")
        } else {
            try {
                stall()
            } catch (_: IOException) {
                // The entry has given the response up.
            }
            stalled.incrementAndGet()
            allStalled.countDown()
            awaitClose()
        }
    }
    private val configuration =
        LoopbackDeployment.CONFIGURATION.replace(""""p","max_conns":40""", """"p","max_conns":400""")
    private val store = LoopbackStore(configuration, mapOf("p" to listOf(endpoint)))
    private val settings = ForwardingSettings(
        id = DaemonId("entry"),
        dataCentre = DataCentre("x"),
        callers = freeAddress(),
        readiness = freeAddress(),
        peers = freeAddress(),
        metrics = freeAddress(),
        seeds = emptyList(),
        store = store.address,
        drainLimit = 8.seconds,
    )
    val entry = EntryProcess(settings)

    /** Number of responses of which all bytes were sent, or that the entry has given up. */
    val stalledCount: Int get() = stalled.get()

    /** Starts the responses that do not end. */
    fun start() {
        entry.awaitReady()
        repeat(STALLED_RESPONSES) { number ->
            sockets +=
                Socket(HOST, settings.callers.port).also { it.getOutputStream().writeText(request(path, "f$number")) }
        }
        allStalled.await(STALL_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends a request whose response is sound; returns why it failed, or null when the response came in time. */
    fun failureOfSoundRequest(number: Int): String? {
        val startedAt = TimeSource.Monotonic.markNow()
        val outcome = try {
            Socket(HOST, settings.callers.port).use {
                it.soTimeout = SOUND_REQUEST_MILLIS
                it.getOutputStream().writeText(request("/lookup/sound", "s$number"))
                it.getInputStream().readMessage()?.body ?: "no answer"
            }
        } catch (failure: IOException) {
            failure.toString()
        }
        return if (outcome == "whole") null else "$outcome after ${startedAt.elapsedNow()}"
    }

    private fun request(path: String, id: String) =
        "GET $path HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\nX-Api-Key: k\r\n\r\n"

    override fun close() {
        sockets.forEach { it.close() }
        entry.close()
        store.close()
        endpoint.close()
    }

    private companion object {
        const val STALL_SECONDS = 15L
    }
}

class ResponseMemoryTest :
    DescribeSpec({
        describe("many responses at once that go on without an end") {
            val text = "a".repeat(STALLED_BYTES)
            val start = "HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\nX-Request-Id: "
            val cases: List<Triple<String, String, ScriptedEndpoint.Exchange.() -> Unit>> = listOf(
                Triple("a body with a length", "/long/a") {
                    write("$start$id\r\nContent-Length: ${STALLED_BYTES + 1}\r\n\r\n$text")
                },
                Triple("an event of a stream", "/stream/a") {
                    startStream()
                    sendChunk("data: $text")
                },
            )
            for ((description, path, stall) in cases) {
                it("do not fill the memory, and other requests are answered in time: $description") {
                    StalledResponses(path, stall).use { responses ->
                        responses.start()
                        val failures = List(SOUND_REQUESTS) { responses.failureOfSoundRequest(it) }.filterNotNull()
                        val errors = responses.entry.useOutputLines { lines ->
                            lines.filter { "OutOfMemoryError" in it }.map { it.take(200) }.take(3).toList()
                        }
                        withClue("errors: $errors") { failures.shouldBeEmpty() }
                        errors.shouldBeEmpty()
                        responses.entry.isAlive shouldBe true
                        responses.stalledCount shouldBeGreaterThanOrEqual STALLED_RESPONSES
                    }
                }
            }
        }
    })
