package org.bilberryhead.forwarding

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
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** More than the sockets hold, so that the request is still being sent when its connection breaks. */
private const val REQUEST_BYTES = 32 * 1024 * 1024

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
            fun endOf(isReset: Boolean): ExchangeFailure? =
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
                        if (isReset) socket.setSoLinger(true, 0) else socket.shutdownOutput()
                        if (!isReset) recorded.end.get(10, TimeUnit.SECONDS)
                    }
                    recorded.end.get(10, TimeUnit.SECONDS)
                }

            it("is never complete when the connection is reset") {
                repeat(20) { endOf(isReset = true).shouldBeInstanceOf<ExchangeFailure.Broken>() }
            }

            it("is complete when the connection is closed in order") {
                endOf(isReset = false) shouldBe null
            }
        }
    })
