package org.bilberryhead.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.bilberryhead.core.testing.http.RawMessage
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val ORDER = "GET /order/"
private const val REST_OF_HEAD = " HTTP/1.1\r\nHost: h\r\nX-Api-Key: k\r\nX-Request-Id: "
private const val LARGE_BODY_BYTES = 900_000
private const val SENDERS = 8

/** What one caller does around the start of a drain, and the statuses it may get; null is a connection that ends. */
private class DrainCase(
    val description: String,
    val statuses: Set<Int?>,
    val beforeDrain: Socket.(id: String) -> Unit = {},
    val millisAfterDrain: Long = 0,
    val afterDrain: Socket.(id: String) -> Unit = {},
)

/** A request and the response to it; null when the connection ended or stayed silent. */
private class SentRequest(val id: String, val response: RawMessage?)

class DrainOrderTest :
    DescribeSpec({
        val respondByPath: ScriptedEndpoint.Exchange.() -> Unit = {
            when {
                "/slow" in request.head -> {
                    TimeUnit.MILLISECONDS.sleep(2_000)
                    respond()
                }

                "/large" in request.head -> respond(body = "a".repeat(LARGE_BODY_BYTES))
                "/stream/" in request.head -> {
                    startStream()
                    repeat(5) {
                        sendChunk("id: $it\ndata: a\n\n")
                        TimeUnit.MILLISECONDS.sleep(600)
                    }
                    endStream()
                }

                else -> respond()
            }
        }

        fun Socket.send(text: String) = getOutputStream().writeText(text)

        fun Socket.sendOrder(id: String, path: String = "a") = send("$ORDER$path$REST_OF_HEAD$id\r\n\r\n")

        val cases = listOf(
            DrainCase("a request at its endpoint", setOf(200), { sendOrder(it, "slow") }),
            DrainCase("a request that was sent but hardly read", setOf(200), { sendOrder(it) }),
            DrainCase("a stream", setOf(200), { send("GET /stream/a$REST_OF_HEAD$it\r\n\r\n") }),
            DrainCase(
                "a head whose rest arrives later",
                setOf(200),
                { send("${ORDER}a$REST_OF_HEAD$it") },
                millisAfterDrain = 1_000,
                { send("\r\n\r\n") },
            ),
            DrainCase(
                "a body whose rest arrives later",
                setOf(200),
                { send("POST /order/a$REST_OF_HEAD$it\r\nContent-Length: 6\r\n\r\nabc") },
                millisAfterDrain = 1_000,
                { send("def") },
            ),
            DrainCase("the first request on an open connection", setOf(200), millisAfterDrain = 1_500, afterDrain = {
                sendOrder(it)
            }),
            DrainCase("a response that the caller begins to read late", setOf(200), { sendOrder(it, "large") }, 4_500),
            DrainCase("a head whose rest never arrives", setOf(408), { send("${ORDER}a$REST_OF_HEAD$it") }),
            DrainCase(
                "a request after the last moment",
                setOf(null),
                millisAfterDrain = 9_000,
                afterDrain = { sendOrder(it) },
            ),
        )

        describe("a drain while callers are in every state") {
            it("ends each request that was passed on with its whole response, and never passes on one that it ends") {
                ScriptedEndpoint(respondByPath).use { endpoint ->
                    LoopbackDeployment(LoopbackDeployment.CONFIGURATION, mapOf("p" to listOf(endpoint))).use { entry ->
                        val connections = cases.mapIndexed { index, case -> Triple(case, "r$index", entry.connect()) }
                        connections.forEach { (case, id, socket) -> case.beforeDrain(socket, id) }
                        val ended = entry.drain()
                        val startedAt = System.nanoTime()
                        val results = connections.map { (case, id, socket) ->
                            val result = ConcurrentLinkedQueue<SentRequest>()
                            thread {
                                TimeUnit.MILLISECONDS.sleep(case.millisAfterDrain)
                                val response = try {
                                    case.afterDrain(socket, id)
                                    socket.getInputStream().readMessage()
                                } catch (_: IOException) {
                                    // The connection was reset, so there is no response.
                                    null
                                }
                                result += SentRequest(id, response)
                            } to result
                        }
                        ended.await(15, TimeUnit.SECONDS) shouldBe true
                        results.forEach { (thread, _) -> thread.join() }
                        val passedOn = endpoint.requests.mapNotNull { it.header("X-Request-Id") }
                        cases.zip(results).forEach { (case, result) ->
                            val sent = result.second.single()
                            withClue("${case.description}: ${sent.response?.head?.lines()?.first()}") {
                                sent.response?.status shouldBeIn case.statuses
                                (sent.id in passedOn) shouldBe (sent.response?.status == 200)
                                sent.response?.isTruncated shouldNotBe true
                            }
                        }
                        println("drained in ${TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)} ms")
                    }
                }
            }
        }

        describe("a drain while a request waits for a connection to its endpoint") {
            it("refuses that request as not run, and does not pass it on") {
                ScriptedEndpoint { awaitClose() }.use { endpoint ->
                    LoopbackDeployment(LoopbackDeployment.CONFIGURATION, mapOf("n" to listOf(endpoint))).use { entry ->
                        entry.connect().use { first ->
                            entry.connect().use { second ->
                                first.send("GET /narrow/a${REST_OF_HEAD}r1\r\n\r\n")
                                endpoint.awaitRequest()
                                second.send("GET /narrow/a${REST_OF_HEAD}r2\r\n\r\n")
                                entry.drain()
                                second.getInputStream().readMessage().shouldNotBeNull().status shouldBe 503
                                endpoint.requests.map { it.header("X-Request-Id") } shouldBe listOf("r1")
                            }
                        }
                    }
                }
            }
        }

        describe("a drain while nothing but a part of a request has arrived") {
            it("waits for the rest of the request and serves it") {
                ScriptedEndpoint(respondByPath).use { endpoint ->
                    LoopbackDeployment(LoopbackDeployment.CONFIGURATION, mapOf("p" to listOf(endpoint))).use { entry ->
                        entry.connect().use { caller ->
                            val ended = entry.drain()
                            TimeUnit.MILLISECONDS.sleep(2_000)
                            caller.send("${ORDER}a$REST_OF_HEAD")
                            TimeUnit.MILLISECONDS.sleep(1_600)
                            caller.send("r1\r\n\r\n")
                            caller.getInputStream().readMessage().shouldNotBeNull().status shouldBe 200
                            ended.await(10, TimeUnit.SECONDS) shouldBe true
                        }
                    }
                }
            }
        }

        describe("a drain while callers go on sending until the end") {
            it("passes on no request without returning its whole response") {
                ScriptedEndpoint(respondByPath).use { endpoint ->
                    LoopbackDeployment(LoopbackDeployment.CONFIGURATION, mapOf("p" to listOf(endpoint))).use { entry ->
                        val sent = ConcurrentLinkedQueue<SentRequest>()
                        val number = AtomicInteger()
                        val drained = CountDownLatch(1)
                        val senders = List(SENDERS) {
                            thread { sendUntilRefused(entry, { "q${number.incrementAndGet()}" }, drained, sent::add) }
                        }
                        TimeUnit.MILLISECONDS.sleep(200)
                        val ended = entry.drain()
                        ended.await(15, TimeUnit.SECONDS) shouldBe true
                        drained.countDown()
                        senders.forEach { it.join() }
                        val passedOn = endpoint.requests.mapNotNull { it.header("X-Request-Id") }.toSet()
                        sent.filter { it.id in passedOn && (it.response == null || it.response.isTruncated) }
                            .map { it.id }.shouldBeEmpty()
                        sent.filter { it.id !in passedOn }.mapNotNull { it.response?.status }
                            .filterNot { it == 503 }.shouldBeEmpty()
                        println("${sent.size} requests, ${passedOn.size} passed on")
                    }
                }
            }
        }

        describe("an entry that has stopped") {
            it("refuses connections at once, in every one of several runs") {
                repeat(5) {
                    ScriptedEndpoint { respond() }.use { endpoint ->
                        val pools = mapOf("p" to listOf(endpoint))
                        LoopbackDeployment(LoopbackDeployment.CONFIGURATION, pools, drainLimit = 500).use { entry ->
                            entry.drain().await(10, TimeUnit.SECONDS) shouldBe true
                            runCatching { entry.connect() }.getOrNull().shouldBeNull()
                        }
                    }
                }
            }
        }
    })

/** Sends requests one after the other, also on a connection that was used before, until [drained] or a refusal. */
private fun sendUntilRefused(
    entry: LoopbackDeployment,
    nextId: () -> String,
    drained: CountDownLatch,
    record: (SentRequest) -> Unit,
) {
    while (drained.count > 0) {
        val socket = try {
            entry.connect()
        } catch (_: IOException) {
            // The entry has closed its port.
            return
        }
        socket.use { connection ->
            connection.soTimeout = 3_000
            do {
                val sent = sendOne(connection, nextId())
                record(sent)
            } while (sent.response != null && sent.response.header("Connection") != "close" && drained.count > 0)
        }
    }
}

private fun sendOne(connection: Socket, id: String): SentRequest = try {
    connection.getOutputStream().writeText("${ORDER}a$REST_OF_HEAD$id\r\n\r\n")
    SentRequest(id, connection.getInputStream().readMessage())
} catch (_: IOException) {
    // A reset, or silence of an entry that no longer reads; in a real process the connection ends.
    SentRequest(id, response = null)
}
