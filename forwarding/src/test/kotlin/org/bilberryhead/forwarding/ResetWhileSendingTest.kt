package org.bilberryhead.forwarding

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.ExchangeFailure
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.http.ResponseListener
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** More than the sockets hold, so that the request is still being sent when its connection breaks. */
private const val REQUEST_BYTES = 32 * 1024 * 1024

/** Time in which a request that is not read must not end, in milliseconds. */
private const val UNREAD_MILLIS = 300L

/** How an exchange ended, after [partReceived] has opened. */
private class RecordedEnd : ResponseListener {
    val partReceived = CountDownLatch(1)
    val end = CompletableFuture<ExchangeFailure?>()

    override fun headReceived(head: ResponseHead) = Unit

    override fun bodyPartReceived(bytes: ByteArray) = partReceived.countDown()

    override fun responseCompleted() {
        end.complete(null)
    }

    override fun exchangeFailed(failure: ExchangeFailure) {
        end.complete(failure)
    }
}

class ResetWhileSendingTest :
    DescribeSpec({
        val thread = newEventThread()
        afterSpec { thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS) }

        describe("a response that ends with its connection and comes while its request is still being sent") {
            /** Returns how the exchange ends when the endpoint goes on with [ending] after part of its response. */
            fun endOf(ending: Socket.(RecordedEnd) -> Unit): ExchangeFailure? =
                ServerSocket(0, 1, InetAddress.getByName(HOST)).use { server ->
                    val recorded = RecordedEnd()
                    val request = OutboundRequest(
                        HttpMethod.POST,
                        "/a",
                        DefaultHttpHeaders().add("Host", "h"),
                        ByteArray(REQUEST_BYTES),
                    )
                    Connector(thread, "X-Request-Id").open(
                        SocketAddress(HOST, server.localPort),
                        opened = { it.send(request, requestId = null, recorded) },
                        failed = { recorded.end.completeExceptionally(IllegalStateException(it.reason)) },
                    )
                    server.accept().use { socket ->
                        // The request has begun to arrive.
                        socket.getInputStream().read()
                        socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nhalf".encodeToByteArray())
                        recorded.partReceived.await(10, TimeUnit.SECONDS) shouldBe true
                        socket.ending(recorded)
                    }
                    recorded.end.get(10, TimeUnit.SECONDS)
                }

            it("is never complete when the connection is reset") {
                repeat(20) { endOf { setSoLinger(true, 0) }.shouldBeInstanceOf<ExchangeFailure.Broken>() }
            }

            it("is never complete when the connection is reset after its other side was closed in order") {
                for (pauseMillis in List(20) { it * 10L }) {
                    val end = endOf {
                        shutdownOutput()
                        TimeUnit.MILLISECONDS.sleep(pauseMillis)
                        setSoLinger(true, 0)
                    }
                    withClue("after $pauseMillis ms") { end.shouldBeInstanceOf<ExchangeFailure.Broken>() }
                }
            }

            it("is complete when the connection is closed in order, but not before the request is read") {
                val end = endOf { recorded ->
                    shutdownOutput()
                    shouldThrow<TimeoutException> { recorded.end.get(UNREAD_MILLIS, TimeUnit.MILLISECONDS) }
                    getInputStream().skip(Long.MAX_VALUE)
                }
                end shouldBe null
            }
        }
    })
