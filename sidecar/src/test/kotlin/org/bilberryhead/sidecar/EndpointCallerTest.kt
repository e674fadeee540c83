package org.bilberryhead.sidecar

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.gate.GateEvent
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.testing.FreePorts
import java.io.IOException
import java.io.OutputStream
import java.util.Collections
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Semaphore
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private suspend fun eventsOf(
    url: String,
    dispatch: Dispatch = testDispatch(),
    maximumResponseBytes: Int = EndpointCaller.DEFAULT_MAXIMUM_RESPONSE_BYTES,
): List<GateEvent> {
    val events = Collections.synchronizedList(mutableListOf<GateEvent>())
    EndpointCaller(url, maximumResponseBytes).use { caller -> caller.call(dispatch) { events += it } }
    return events
}

private suspend fun eventsOf(respond: (OutputStream) -> Unit, dispatch: Dispatch = testDispatch()): List<GateEvent> =
    ScriptedEndpoint(respond).use { endpoint ->
        eventsOf(endpoint.url, dispatch).also { endpoint.calls.get() shouldBe 1 }
    }

private fun responseOf(events: List<GateEvent>): Payload =
    Payload.join(events.map { (it as GateEvent.EndpointResponded).payload })

class EndpointCallerTest :
    DescribeSpec({
        val attempt = AttemptId("entry.1:0:0")
        val binary = Random(5).nextBytes(3_000_000)

        describe("a response") {
            it("is reported unchanged, in frames of limited size") {
                val events = eventsOf(ScriptedEndpoint.response("200 OK", binary))

                responseOf(events) shouldBe Payload(binary)
                events shouldHaveSize 3
                events.map { (it as GateEvent.EndpointResponded).last } shouldBe listOf(false, false, true)
            }

            it("without a body is reported as one empty last frame") {
                eventsOf(ScriptedEndpoint.response("200 OK")) shouldBe
                    listOf(GateEvent.EndpointResponded(attempt, Payload.EMPTY, last = true))
            }

            it("that is streamed is reported while the endpoint still sends it") {
                val firstReported = CountDownLatch(1)
                val endpoint = ScriptedEndpoint { output ->
                    output.write("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc".encodeToByteArray())
                    output.flush()
                    firstReported.await()
                    output.write("def".encodeToByteArray())
                    output.flush()
                }
                val events = mutableListOf<GateEvent>()

                endpoint.use {
                    EndpointCaller(it.url).use { caller ->
                        caller.call(testDispatch(streamed = true)) { event ->
                            events += event
                            firstReported.countDown()
                        }
                    }
                }

                events.first() shouldBe GateEvent.EndpointResponded(attempt, Payload.ofText("abc"), last = false)
                responseOf(events) shouldBe Payload.ofText("abcdef")
            }

            it("that is truncated is a failure, whether streamed or not") {
                val truncate: (OutputStream) -> Unit = { output ->
                    output.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".encodeToByteArray())
                    output.flush()
                    throw IOException("expected test failure")
                }

                eventsOf(truncate).single().shouldBeInstanceOf<GateEvent.EndpointFailed>()
                eventsOf(truncate, testDispatch(streamed = true)).last().shouldBeInstanceOf<GateEvent.EndpointFailed>()
            }

            it("that is larger than the maximum is a failure") {
                ScriptedEndpoint(ScriptedEndpoint.response("200 OK", ByteArray(101))).use { endpoint ->
                    eventsOf(endpoint.url, maximumResponseBytes = 100).single()
                        .shouldBeInstanceOf<GateEvent.EndpointFailed>()
                }
            }
        }

        describe("a call that did not run") {
            it("is reported when the connection is refused") {
                eventsOf(
                    "http://127.0.0.1:${FreePorts.next()}",
                ).single().shouldBeInstanceOf<GateEvent.EndpointDidNotRun>()
            }

            it("is reported when the endpoint says that it did not start the call") {
                eventsOf(ScriptedEndpoint.response("503 Service Unavailable", ByteArray(0), "X-Not-Run: true")).single()
                    .shouldBeInstanceOf<GateEvent.EndpointDidNotRun>()
            }
        }

        describe("a call that may have run is not repeated") {
            val responses = mapOf(
                "status 500" to ScriptedEndpoint.response("500 Internal Server Error"),
                "status 503 with Retry-After: 0" to
                    ScriptedEndpoint.response("503 Service Unavailable", ByteArray(0), "Retry-After: 0"),
                "status 408" to ScriptedEndpoint.response("408 Request Timeout"),
                "status 421" to ScriptedEndpoint.response("421 Misdirected Request"),
                "a redirect to itself" to
                    ScriptedEndpoint.response("307 Temporary Redirect", ByteArray(0), "Location: /stages/record"),
                "a connection closed without a response" to
                    { _: OutputStream -> throw IOException("expected test failure") },
                "a response that is not HTTP" to { output: OutputStream ->
                    output.write("what?\r\n\r\n".encodeToByteArray())
                    throw IOException("expected test failure")
                },
            )
            for ((description, respond) in responses) {
                it("after $description") {
                    eventsOf(respond).single().shouldBeInstanceOf<GateEvent.EndpointFailed>()
                }
            }

            it("after a timeout without a response") {
                val release = CountDownLatch(1)
                // The caller waits for 10 s past the deadline, so this call times out after 500 ms.
                val dispatch = testDispatch(remainingMillis = -9_500)

                eventsOf({ release.await() }, dispatch).single().shouldBeInstanceOf<GateEvent.EndpointFailed>()
                release.countDown()
            }

            it("on a pooled connection that the endpoint has closed in the meantime") {
                val endpoint = ScriptedEndpoint { output ->
                    ScriptedEndpoint.response("200 OK")(output)
                    throw IOException("closes each connection after one response")
                }
                endpoint.use {
                    EndpointCaller(it.url).use { caller ->
                        repeat(20) { number -> caller.call(testDispatch("entry.$number:0:0")) { } }
                    }
                    (endpoint.calls.get() <= 20) shouldBe true
                }
            }
        }

        describe("concurrent calls") {
            it("all reach the endpoint without waiting for each other") {
                val started = Semaphore(0)
                val release = CountDownLatch(1)
                val endpoint = ScriptedEndpoint { output ->
                    started.release()
                    release.await()
                    ScriptedEndpoint.response("200 OK")(output)
                }
                endpoint.use {
                    EndpointCaller(it.url).use { caller ->
                        coroutineScope {
                            val calls = List(30) { number ->
                                async(Dispatchers.Default) { caller.call(testDispatch("entry.$number:0:0")) { } }
                            }
                            launch(Dispatchers.IO) {
                                started.acquire(30)
                                release.countDown()
                            }
                            withTimeout(20.seconds) { calls.awaitAll() }
                        }
                    }
                }
            }
        }

        describe("a call that is cancelled") {
            it("reports nothing") {
                val started = Channel<Unit>(1)
                val release = CountDownLatch(1)
                val events = Collections.synchronizedList(mutableListOf<GateEvent>())
                val endpoint = ScriptedEndpoint {
                    started.trySend(Unit)
                    release.await()
                }
                endpoint.use {
                    EndpointCaller(it.url).use { caller ->
                        coroutineScope {
                            val call = launch { caller.call(testDispatch()) { event -> events += event } }
                            started.receive()
                            call.cancel()
                            call.join()
                        }
                    }
                }
                release.countDown()

                events shouldHaveSize 0
            }
        }
    })
