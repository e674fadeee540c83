package org.bilberryhead.forwarding.request

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.memory.MemoryBudget
import org.bilberryhead.core.memory.MemoryKind
import org.bilberryhead.core.testing.http.RawMessage
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import org.bilberryhead.forwarding.LoopbackDeployment
import org.bilberryhead.forwarding.ScriptedEndpoint
import org.bilberryhead.forwarding.caller.CallerListener
import org.bilberryhead.forwarding.caller.ResponseWriter
import org.bilberryhead.forwarding.deploy
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.ResponseHead
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

private const val CUT = "cut"
private const val EVENT_BYTES = 1_000
private const val EVENTS = 300

private fun event(number: Int) = "id: $number\ndata: ${"a".repeat(EVENT_BYTES)}\n\n"

private fun events(range: IntRange) = range.joinToString("", transform = ::event)

/** A caller that has no room after each event, until it [takes] one. */
private class StalledWriter : ResponseWriter {
    lateinit var listener: CallerListener
    val body = CompletableFuture<String>()
    private val written = StringBuilder()
    override val isOpen: Boolean get() = !body.isDone
    override var isCongested = false
        private set

    override fun send(response: FullResponse) = end("status ${response.head.status}")

    override fun start(head: ResponseHead) = Unit

    override fun write(bytes: ByteArray) {
        written.append(bytes.decodeToString())
        isCongested = true
    }

    /** Takes what was written. */
    fun takes() {
        isCongested = false
        listener.callerCaughtUp()
    }

    override fun finish() = end(written.toString())

    override fun abort() = end("$written$CUT")

    private fun end(text: String) {
        body.complete(text)
    }
}

/** An entry with one endpoint, whose stream a caller has asked for that takes nothing by itself. */
private class SlowCaller(
    val memory: MemoryBudget,
    path: String = "/stream/a",
    handler: ScriptedEndpoint.Exchange.() -> Unit,
) : AutoCloseable {
    private val endpoint = ScriptedEndpoint(handler)
    private val entry = AdmissionWithEndpoint(endpoint, memory = memory)
    val writer = StalledWriter()

    val held: Long get() = entry.onThread { memory.held(MemoryKind.STREAM_BACKLOG) }

    init {
        entry.onThread { writer.listener = checkNotNull(entry.serve(writer, path)) }
    }

    fun leave() = entry.onThread { writer.listener.callerDisconnected() }

    /** Takes the response up to its end. */
    fun readAll(): String {
        while (!writer.body.isDone) entry.onThread { writer.takes() }
        return writer.body.get()
    }

    override fun close() {
        entry.close()
        endpoint.close()
    }
}

class SlowCallerTest :
    DescribeSpec({
        fun largeMemory() = MemoryBudget(100L * 1024 * 1024)

        fun ScriptedEndpoint.Exchange.send(range: IntRange) {
            startStream()
            range.forEach { sendChunk(event(it)) }
        }

        describe("a stream whose caller takes nothing") {
            it("is read to its end, and is complete for its caller only after the last event") {
                val isRead = CountDownLatch(1)
                SlowCaller(largeMemory(), handler = {
                    send(1..EVENTS)
                    endStream()
                    isRead.countDown()
                }).use { caller ->
                    isRead.await(5, TimeUnit.SECONDS) shouldBe true
                    eventually(2.seconds) { caller.held shouldBeGreaterThan (EVENTS - 2L) * EVENT_BYTES }
                    caller.writer.body.isDone shouldBe false
                    caller.readAll() shouldBe events(1..EVENTS)
                    caller.held shouldBe 0
                }
            }

            it("holds no memory and no connection of its endpoint half a second after its caller has left") {
                val isClosed = CompletableFuture<Boolean>()
                SlowCaller(largeMemory(), handler = {
                    send(1..EVENTS)
                    isClosed.complete(awaitClose())
                }).use { caller ->
                    eventually(2.seconds) { caller.held shouldBeGreaterThan EVENTS / 2L * EVENT_BYTES }
                    caller.leave()
                    caller.held shouldBe 0
                    isClosed.get(500, TimeUnit.MILLISECONDS) shouldBe true
                }
            }

            it("holds no memory when its caller leaves after the end was read") {
                SlowCaller(largeMemory(), handler = {
                    send(1..EVENTS)
                    endStream()
                }).use { caller ->
                    eventually(2.seconds) { caller.held shouldBeGreaterThan (EVENTS - 2L) * EVENT_BYTES }
                    caller.leave()
                    caller.held shouldBe 0
                }
            }

            it("is not read beyond the limit of one caller, and goes on when the caller takes it") {
                val memory = MemoryBudget(20L * 1024 * 1024)
                val many = 10_000
                SlowCaller(memory, handler = {
                    send(1..many)
                    endStream()
                }).use { caller ->
                    eventually(2.seconds) {
                        caller.held shouldBeGreaterThan memory.limit(MemoryKind.STREAM_BACKLOG) / 16
                    }
                    TimeUnit.MILLISECONDS.sleep(300)
                    caller.held shouldBeLessThanOrEqual memory.limit(MemoryKind.STREAM_BACKLOG) / 8
                    caller.readAll() shouldBe events(1..many)
                    caller.held shouldBe 0
                }
            }

            it("is cut at the deadline of its request, and holds no memory afterwards") {
                SlowCaller(largeMemory(), handler = {
                    send(1..EVENTS)
                    endStream()
                }).use { caller ->
                    caller.writer.body.get(6, TimeUnit.SECONDS).endsWith(CUT) shouldBe true
                    caller.held shouldBe 0
                }
            }
        }

        describe("a stream that breaks off while its caller is behind") {
            it("gets no event twice or out of order when it is resumed") {
                var attempts = 0
                SlowCaller(largeMemory(), "/resume/a", handler = {
                    if (attempts++ == 0) {
                        send(1..EVENTS)
                        closeConnection()
                    } else {
                        send(EVENTS + 1..2 * EVENTS)
                        endStream()
                    }
                }).use { it.readAll() shouldBe events(1..2 * EVENTS) }
            }

            it("loses none of the events before it is cut off") {
                val isBroken = CountDownLatch(1)
                SlowCaller(largeMemory(), handler = {
                    send(1..EVENTS)
                    closeConnection()
                    isBroken.countDown()
                }).use { caller ->
                    isBroken.await(5, TimeUnit.SECONDS)
                    caller.readAll() shouldBe events(1..EVENTS) + CUT
                }
            }
        }

        describe("a stream whose caller reads its connection only later") {
            /** More events than the buffers of the connections take. */
            val streamed = 8_000

            fun LoopbackDeployment.requestStream(): Socket = connect().also {
                val headers = "Host: h\r\nX-Request-Id: slow\r\nX-Api-Key: k"
                it.getOutputStream().writeText("GET /stream/a HTTP/1.1\r\n$headers\r\n\r\n")
                TimeUnit.MILLISECONDS.sleep(500)
            }

            it("is still sent to its end while the entry drains") {
                deploy({
                    send(1..streamed)
                    endStream()
                }) { entry, _ ->
                    entry.requestStream().use { socket ->
                        entry.drain()
                        entry.awaitDraining()
                        socket.getInputStream().readMessage()?.body shouldBe events(1..streamed)
                    }
                }
            }

            it("loses nothing that was sent before it broke off when the connection closes") {
                deploy({
                    send(1..streamed)
                    closeConnection()
                }) { entry, _ ->
                    entry.requestStream().use { socket ->
                        socket.getInputStream().readMessage()?.body shouldBe
                            events(1..streamed) + RawMessage.TRUNCATION_MARK
                    }
                }
            }

            it("ends at its endpoint within half a second when the caller closes the connection") {
                val isClosed = CompletableFuture<Boolean>()
                deploy({
                    send(1..streamed)
                    isClosed.complete(awaitClose())
                }) { entry, _ ->
                    entry.requestStream().close()
                    isClosed.get(500, TimeUnit.MILLISECONDS) shouldBe true
                }
            }
        }
    })
