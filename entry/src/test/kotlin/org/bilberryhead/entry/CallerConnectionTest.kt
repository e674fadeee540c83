package org.bilberryhead.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Cancel
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.daemon.MonotonicClock
import java.net.Socket
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** The callers' interface, listening on a real socket. */
private class ListeningInterface : AutoCloseable {
    val links = FakeLinks { emptyList() }
    val callers = CallerInterface(links, clock = MonotonicClock())
    private val server: EmbeddedServer<*, *> =
        embeddedServer(Netty, port = 0, host = "127.0.0.1") { callers.install(this) }.start()
    private var port = 0

    suspend fun connect(): Socket {
        if (port == 0) port = server.engine.resolvedConnectors().first().port
        return Socket("127.0.0.1", port).apply { soTimeout = 15_000 }
    }

    suspend fun nextMessage(): AttemptMessage = withTimeout(15.seconds) { links.arrivals.receive() }

    override fun close() = server.stop(0, 0)
}

private fun requestText(body: String = "{}", contentLength: Int = body.length, path: String = "/v1/requests/plan") =
    "POST $path HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer $TEST_TOKEN\r\nConnection: close\r\n" +
        "Content-Type: application/json\r\nContent-Length: $contentLength\r\n\r\n$body"

private fun Socket.send(text: String) = getOutputStream().run {
    write(text.encodeToByteArray())
    flush()
}

private fun Socket.readAll(): String = getInputStream().readBytes().decodeToString()

class CallerConnectionTest :
    DescribeSpec({
        lateinit var listening: ListeningInterface

        beforeEach { listening = ListeningInterface() }

        afterEach { listening.close() }

        suspend fun exchange(text: String): String = withContext(Dispatchers.IO) {
            listening.connect().use { socket ->
                socket.send(text)
                socket.readAll()
            }
        }

        describe("a caller that disconnects") {
            it("has its attempt cancelled") {
                listening.connect().use { socket ->
                    socket.send(requestText())
                    listening.nextMessage().shouldBeInstanceOf<Dispatch>()
                }

                listening.nextMessage().shouldBeInstanceOf<Cancel>()
            }

            it("before its complete body has arrived reaches no endpoint, and other callers are served") {
                listening.connect().use { it.send(requestText(body = "{\"lake\":", contentLength = 500)) }

                coroutineScope {
                    val response = async(Dispatchers.IO) { exchange(requestText()) }
                    val dispatch = listening.nextMessage().shouldBeInstanceOf<Dispatch>()
                    listening.links.deliver(FakeLinks.frames(dispatch, "{\"whole\":true}"))
                    response.await() shouldContain "{\"whole\":true}"
                }
                listening.links.dispatches.size shouldBe 1
            }
        }

        describe("bytes that are not HTTP") {
            it("reach no endpoint, and other callers are served") {
                withContext(Dispatchers.IO) {
                    listening.connect().use { socket ->
                        socket.getOutputStream().write(Random(3).nextBytes(5_000))
                        socket.shutdownOutput()
                        runCatching { socket.readAll() }
                    }
                }

                exchange(requestText(path = "/v1/requests/nothing")) shouldStartWith "HTTP/1.1 404"
                listening.links.sent.isEmpty() shouldBe true
            }
        }

        describe("an entry that drains") {
            it(
                "completes requests in flight, and refuses new requests with the outcome not_run only after it closes",
            ) {
                coroutineScope {
                    val first = async(Dispatchers.IO) { exchange(requestText()) }
                    val firstDispatch = listening.nextMessage().shouldBeInstanceOf<Dispatch>()

                    listening.callers.tracker.startDraining()
                    val second = async(Dispatchers.IO) { exchange(requestText()) }
                    val secondDispatch = listening.nextMessage().shouldBeInstanceOf<Dispatch>()
                    listening.callers.tracker.close()
                    val third = exchange(requestText())
                    listening.links.deliver(FakeLinks.frames(firstDispatch, "{\"first\":1}"))
                    listening.links.deliver(FakeLinks.frames(secondDispatch, "{\"second\":2}"))

                    first.await() shouldContain "{\"first\":1}"
                    second.await() shouldContain "{\"second\":2}"
                    third shouldStartWith "HTTP/1.1 503"
                    third shouldContain "\"outcome\":\"not_run\""
                    third shouldContain "Retry-After: 1"
                    withTimeout(15.seconds) { listening.callers.tracker.awaitIdle() }
                }
            }
        }

        describe("a streamed response") {
            it("starts while the endpoint is still producing it") {
                listening.connect().use { socket ->
                    socket.send(requestText(path = "/v1/requests/advice"))
                    val dispatch = listening.nextMessage().shouldBeInstanceOf<Dispatch>()
                    val frames = FakeLinks.frames(dispatch, "first", "second")

                    listening.links.deliver(frames.take(1))
                    val received = StringBuilder()
                    withContext(Dispatchers.IO) {
                        while ("first" !in received) received.append(socket.getInputStream().read().toChar())
                    }
                    listening.links.deliver(frames.drop(1))

                    withContext(Dispatchers.IO) { socket.readAll() } shouldContain "event: end"
                }
            }
        }
    })
