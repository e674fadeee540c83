package org.bilberryhead.forwarding.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.serving.CallerLimits
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import org.bilberryhead.forwarding.HOST
import org.bilberryhead.forwarding.freeAddress
import org.bilberryhead.forwarding.newEventThread
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TimeSource

private const val LONGEST_BODY_BYTES = 50_000

/** Far more than the buffers of both ends of a connection hold. */
private const val SENT_BYTES = 16 * 1024 * 1024

/** The parts of a body that takes longer to send than a caller that sends fast is waited for. */
private const val SLOW_PARTS = 40
private const val SLOW_PART_BYTES = 500
private const val SLOW_BODY_BYTES = LONGEST_BODY_BYTES + 1_000 + SLOW_PARTS * SLOW_PART_BYTES

/** A server of callers, none of whose requests ends by itself. */
private class RejectingServer : AutoCloseable {
    private val thread = newEventThread()
    val failures = CopyOnWriteArrayList<Throwable>()
    private val rejected = CountDownLatch(1)
    private val state = object : CallerServerState {
        override fun now(): Instant = thread.now()
        override val limits =
            CallerLimits(headerBytes = 5_000, LONGEST_BODY_BYTES, headerTimeout = 3.seconds, idleTimeout = 15.seconds)
        override val isDraining = false

        override fun recordFailure(failure: Throwable) {
            failures += failure
        }

        override fun runGuarded(block: () -> Unit): Boolean = runCatching(block).onFailure(::recordFailure).isSuccess

        override fun rejected(status: Int, reason: String) = rejected.countDown()
    }
    private val server = CallerServer(thread, state) { _, _ -> CallerListener { } }
    private val address = freeAddress()
    private val stopped = CountDownLatch(1)

    init {
        server.listen(address)
    }

    fun connect() = Socket(HOST, address.port).apply { soTimeout = 10_000 }

    fun stop() = thread.loop.execute { state.runGuarded { server.stop { stopped.countDown() } } }

    fun awaitRejection() = check(rejected.await(10, TimeUnit.SECONDS))

    fun hasStopped(): Boolean = stopped.await(2, TimeUnit.SECONDS)

    override fun close() {
        thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

private fun head(bodyBytes: Int) = "POST /order/a HTTP/1.1\r\nHost: h\r\nContent-Length: $bodyBytes\r\n\r\n"

class RejectedWhileSendingTest :
    DescribeSpec({
        describe("a caller that sends a body which is too long") {
            it("receives the rejection and no reset while it is still sending") {
                RejectingServer().use { server ->
                    server.connect().use { caller ->
                        caller.getOutputStream().writeText(head(SENT_BYTES))
                        val part = ByteArray(64 * 1024)
                        repeat(SENT_BYTES / part.size) { caller.getOutputStream().write(part) }
                        caller.getInputStream().readMessage()?.status shouldBe 413
                        caller.getInputStream().read() shouldBe -1
                    }
                    server.failures.shouldBeEmpty()
                }
            }

            it("receives the rejection although it sends the rest slowly, and reads only then") {
                RejectingServer().use { server ->
                    server.connect().use { caller ->
                        caller.getOutputStream().writeText(head(SLOW_BODY_BYTES))
                        caller.getOutputStream().write(ByteArray(LONGEST_BODY_BYTES + 1_000))
                        server.awaitRejection()
                        repeat(SLOW_PARTS) {
                            caller.getOutputStream().write(ByteArray(SLOW_PART_BYTES))
                            TimeUnit.MILLISECONDS.sleep(100)
                        }
                        caller.getInputStream().readMessage()?.status shouldBe 413
                    }
                    server.failures.shouldBeEmpty()
                }
            }

            it("is disconnected when it goes on to send") {
                RejectingServer().use { server ->
                    server.connect().use { caller ->
                        caller.getOutputStream().writeText(head(Int.MAX_VALUE))
                        val start = TimeSource.Monotonic.markNow()
                        val part = ByteArray(64 * 1024)
                        val failure = runCatching { while (true) caller.getOutputStream().write(part) }
                        failure.isFailure shouldBe true
                        start.elapsedNow().inWholeSeconds shouldBeLessThan 10
                    }
                }
            }
        }

        describe("a caller whose request is being read when the process ends") {
            it("receives the refusal and no reset although it sends the rest") {
                RejectingServer().use { server ->
                    server.connect().use { caller ->
                        caller.getOutputStream().writeText(head(LONGEST_BODY_BYTES) + "x".repeat(100))
                        TimeUnit.MILLISECONDS.sleep(300)
                        server.stop()
                        server.awaitRejection()
                        caller.getOutputStream().write(ByteArray(LONGEST_BODY_BYTES - 100))
                        server.hasStopped() shouldBe true
                        caller.getInputStream().readMessage()?.status shouldBe 503
                    }
                    server.failures.shouldBeEmpty()
                }
            }
        }
    })
