package org.bilberryhead.forwarding.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.EmptyHttpHeaders
import org.bilberryhead.core.serving.CallerLimits
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.HOST
import org.bilberryhead.forwarding.caller.CallerConnectionHarness.Companion.bodyRequest
import org.bilberryhead.forwarding.freeAddress
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.newEventThread
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TimeSource

private class StoppingState(private val thread: EventThread) : CallerServerState {
    val failures = CopyOnWriteArrayList<Throwable>()

    override fun now(): Instant = thread.now()
    override val limits = CallerLimits(5_000, 50_000, headerTimeout = 3.seconds, idleTimeout = 15.seconds)
    override val isDraining = true

    override fun recordFailure(failure: Throwable) {
        failures += failure
    }

    override fun runGuarded(block: () -> Unit): Boolean = runCatching(block).onFailure(::recordFailure).isSuccess

    override fun rejected(status: Int, reason: String) = Unit
}

/** A server that is stopped while callers are connected that have sent [texts], one each. */
private class StoppedServer(texts: List<String>) : AutoCloseable {
    private val thread = newEventThread()
    private val state = StoppingState(thread)
    private val server = CallerServer(thread, state) { _, _ -> CallerListener { } }
    private val address = freeAddress()
    private val stopped = CountDownLatch(1)
    val failures get() = state.failures
    private val sockets: List<Socket>

    init {
        server.listen(address)
        sockets = texts.map { text ->
            Socket(HOST, address.port).apply {
                soTimeout = 5_000
                getOutputStream().writeText(text)
            }
        }
        TimeUnit.MILLISECONDS.sleep(300)
        thread.loop.execute { state.runGuarded { server.stop { stopped.countDown() } } }
    }

    fun hasStopped(): Boolean = stopped.await(2, TimeUnit.SECONDS)

    /** The statuses that the callers received; null for one whose connection ended without a response. */
    fun statuses(): List<Int?> = sockets.map { it.getInputStream().readMessage()?.status }

    override fun close() {
        sockets.forEach { it.close() }
        thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

class CallerServerStopTest :
    DescribeSpec({
        val half = bodyRequest("a", 10, "half")

        describe("a server that is stopped while several requests are read in part") {
            it("refuses each of them and ends") {
                StoppedServer(List(3) { half }).use {
                    it.hasStopped() shouldBe true
                    it.statuses() shouldBe List(3) { 503 }
                    it.failures.shouldBeEmpty()
                }
            }

            it("closes an idle connection beside them") {
                StoppedServer(listOf(half, "")).use {
                    it.hasStopped() shouldBe true
                    it.statuses() shouldBe listOf(503, null)
                    it.failures.shouldBeEmpty()
                }
            }
        }

        describe("a server that is stopped while a caller has yet to read its response") {
            it("gives the caller time to read it") {
                val thread = newEventThread()
                val address = freeAddress()
                val stopped = CountDownLatch(1)
                val served = CountDownLatch(1)
                val server = CallerServer(thread, StoppingState(thread)) { _, response ->
                    response.send(FullResponse(ResponseHead(200, EmptyHttpHeaders.INSTANCE), ByteArray(64_000_000)))
                    served.countDown()
                    CallerListener { }
                }
                server.listen(address)
                Socket(HOST, address.port).use {
                    it.getOutputStream().writeText("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                    served.await(5, TimeUnit.SECONDS) shouldBe true
                    val start = TimeSource.Monotonic.markNow()
                    thread.loop.execute { server.stop { stopped.countDown() } }
                    stopped.await(5, TimeUnit.SECONDS) shouldBe true
                    start.elapsedNow().inWholeMilliseconds shouldBeGreaterThanOrEqual 200
                }
                thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
            }
        }
    })
