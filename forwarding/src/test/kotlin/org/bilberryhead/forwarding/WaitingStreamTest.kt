package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.testing.http.RawMessage
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val FIRST = "id: 1\n\n"
private const val SECOND = "id: 2\n\n"

class WaitingStreamTest :
    DescribeSpec({
        fun ScriptedEndpoint.Exchange.sendRest() {
            startStream()
            sendChunk(SECOND)
            endStream()
        }

        /** Returns the response to a request on [path] that breaks off at its endpoint, which rests by then. */
        fun responseWhenAllRest(path: String, retryAfter: String): RawMessage {
            val rests = CountDownLatch(1)
            val attempts = AtomicInteger()
            return deploy({
                when {
                    id == "full" -> respond("503 Full", headers = "X-Not-Executed: 1\r\nRetry-After: $retryAfter\r\n")
                    attempts.getAndIncrement() == 0 -> {
                        startStream()
                        sendChunk(FIRST)
                        rests.await(10, TimeUnit.SECONDS)
                        closeConnection()
                    }

                    path.startsWith("/lookup") -> respond()
                    else -> sendRest()
                }
            }) { entry, endpoints ->
                val response = CompletableFuture.supplyAsync { entry.get(path, "cut") }
                endpoints.single().awaitRequest()
                entry.get("/order/a", "full")?.status shouldBe 503
                rests.countDown()
                response.get(10, TimeUnit.SECONDS).shouldNotBeNull()
            }
        }

        describe("a request that breaks off while all endpoints rest") {
            it("is resumed when the first one is back, if its caller has part of a stream") {
                responseWhenAllRest("/resume/a", "0.4").body shouldBe FIRST + SECOND
            }

            it("is repeated when the first one is back, if it may have run") {
                responseWhenAllRest("/lookup/a", "0.4").status shouldBe 200
            }

            it("ends at once when none is back before its caller leaves") {
                responseWhenAllRest("/resume/a", "20").body shouldBe FIRST + RawMessage.TRUNCATION_MARK
                responseWhenAllRest("/lookup/a", "20").status shouldBe 502
            }
        }

        describe("a stream that breaks off while no endpoint is known") {
            it("is resumed by one that becomes known before its caller leaves") {
                val isGone = CountDownLatch(1)
                val first: ScriptedEndpoint.Exchange.() -> Unit = {
                    if (id == "last") {
                        respond(headers = "X-Response-Stamp: s\r\nServer-Leaving: 1\r\n")
                    } else {
                        startStream()
                        sendChunk(FIRST)
                        isGone.await(10, TimeUnit.SECONDS)
                        closeConnection()
                    }
                }
                ScriptedEndpoint { sendRest() }.use { second ->
                    deploy(first) { entry, endpoints ->
                        val response = CompletableFuture.supplyAsync { entry.get("/resume/a", "cut") }
                        endpoints.single().awaitRequest()
                        entry.get("/order/a", "last")?.status shouldBe 200
                        isGone.countDown()
                        entry.get("/order/a", "refused")?.status shouldBe 503
                        entry.change(pools = mapOf("p" to endpoints + second))
                        response.get(10, TimeUnit.SECONDS).shouldNotBeNull().body shouldBe FIRST + SECOND
                    }
                }
            }
        }
    })
