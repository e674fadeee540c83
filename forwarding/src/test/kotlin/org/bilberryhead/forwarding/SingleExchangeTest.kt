package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.ExchangeOutcome
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.forwarding.http.SingleExchange
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

class SingleExchangeTest :
    DescribeSpec({
        val thread = newEventThread()
        afterSpec { thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS) }

        describe("a call to the store or to a peer whose response has no end") {
            val starts = mapOf(
                "in its head" to "HTTP/1.1 200 OK\r\nX-Long: ",
                "in a body that ends with its connection" to "HTTP/1.1 200 OK\r\n\r\n",
                "before its first line" to "",
            )
            for ((description, start) in starts) {
                it("ends with an unknown outcome and a closed connection: $description") {
                    val sentBytes = AtomicLong()
                    val closed = CountDownLatch(1)
                    ScriptedEndpoint {
                        write(start)
                        val part = if (start.isEmpty()) "\r\n".repeat(512) else "a".repeat(1024)
                        runCatching { while (sentBytes.addAndGet(1024) > 0) write(part) }
                            .onFailure { closed.countDown() }
                    }.use { server ->
                        val address = SocketAddress("127.0.0.1", server.address.substringAfter(':').toInt())
                        val request =
                            OutboundRequest(HttpMethod.GET, "/a", DefaultHttpHeaders().add("Host", "h"), ByteArray(0))
                        val outcome = CompletableFuture<ExchangeOutcome>()
                        SingleExchange(thread, Connector(thread, "X-Request-Id"))
                            .send(address, request, timeout = 20.seconds) { outcome.complete(it) }
                        outcome.get(10, TimeUnit.SECONDS).shouldBeInstanceOf<ExchangeOutcome.Unknown>()
                        closed.await(10, TimeUnit.SECONDS) shouldBe true
                        // 4 MiB of a body, and what the sockets hold.
                        sentBytes.get() shouldBeLessThan 32L * 1024 * 1024
                    }
                }
            }
        }
    })
