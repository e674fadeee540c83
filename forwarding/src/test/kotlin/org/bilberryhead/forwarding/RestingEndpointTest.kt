package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private const val NOT_RUN = "X-Not-Executed: 1\r\n"

private fun resting(retryAfter: String, headers: String = NOT_RUN): ScriptedEndpoint.Exchange.() -> Unit = {
    respond("503 Full", headers = "${headers}Retry-After: $retryAfter\r\n")
}

private fun LoopbackDeployment.begin(id: String): Socket = connect().apply {
    getOutputStream().writeText("GET /long/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\nX-Api-Key: k\r\n\r\n")
}

class RestingEndpointTest :
    DescribeSpec({
        describe("endpoints that refuse a request and say how long they want none") {
            it("get none for that time when all of a pool rest, and callers are told when the first one is back") {
                deploy(resting("20"), resting("20.5"), resting("21")) { entry, endpoints ->
                    val last = List(8) { entry.get("/lookup/a", "r$it").shouldNotBeNull() }.last()
                    endpoints.map { it.requests.size } shouldBe listOf(1, 1, 1)
                    last.status shouldBe 503
                    last.header("Retry-After").shouldNotBeNull().toDouble().shouldBeBetween(10.0, 22.0, 0.0)
                }
            }

            it("are passed over while another endpoint of the pool does not rest") {
                deploy(resting("20"), { respond() }) { entry, endpoints ->
                    repeat(8) { entry.get("/lookup/a", "r$it").shouldNotBeNull().status shouldBe 200 }
                    (endpoints.first().requests.size <= 1) shouldBe true
                }
            }

            it("get requests again when the time is over, which may be a fraction of a second") {
                var refusedAt: TimeSource.Monotonic.ValueTimeMark? = null
                var returnedAt: TimeSource.Monotonic.ValueTimeMark? = null
                val handler: ScriptedEndpoint.Exchange.() -> Unit = {
                    if (refusedAt == null) {
                        refusedAt = TimeSource.Monotonic.markNow()
                        resting("0.4")()
                    } else {
                        returnedAt = TimeSource.Monotonic.markNow()
                        respond()
                    }
                }
                deploy(handler) { entry, _ ->
                    generateSequence(0) { it + 1 }.first { entry.get("/order/a", "r$it")?.status == 200 }
                    returnedAt.shouldNotBeNull() - refusedAt.shouldNotBeNull() shouldBeGreaterThanOrEqualTo
                        400.milliseconds
                }
            }

            it("get none for that time also when they do not say that the request has not run") {
                deploy(resting("20", headers = "")) { entry, endpoints ->
                    repeat(4) { entry.get("/order/a", "r$it").shouldNotBeNull() }
                    endpoints.single().requests.size shouldBe 1
                }
            }

            for (value in listOf("-1", "soon", "Infinity", "NaN", "", "0", "Fri, 31 Dec 1999 23:59:59 GMT")) {
                it("are used on when the time is none: '$value'") {
                    deploy(resting(value)) { entry, endpoints ->
                        repeat(2) { entry.get("/long/a", "r$it").shouldNotBeNull().status shouldBe 503 }
                        endpoints.single().requests.size shouldBe 2
                    }
                }
            }

            it("are used on when they are full and name no time") {
                deploy({ respond("503 Full", headers = NOT_RUN) }) { entry, endpoints ->
                    repeat(2) { entry.get("/long/a", "r$it").shouldNotBeNull().status shouldBe 503 }
                    endpoints.single().requests.size shouldBe 2
                }
            }

            it("get none of the requests that wait for a connection to them; those are refused at once") {
                val refused = CountDownLatch(1)
                val narrow = LoopbackDeployment.CONFIGURATION.replace(""""p","max_conns":40""", """"p","max_conns":1""")
                ScriptedEndpoint {
                    if (id == "first") refused.await(10, TimeUnit.SECONDS)
                    resting("20")()
                }.use { endpoint ->
                    LoopbackDeployment(narrow, mapOf("p" to listOf(endpoint))).use { entry ->
                        val first = entry.begin("first")
                        endpoint.awaitRequest()
                        val waiting = List(3) { entry.begin("waiting$it") }
                        TimeUnit.MILLISECONDS.sleep(150)
                        refused.countDown()
                        (waiting + first).forEach { socket ->
                            socket.use { it.getInputStream().readMessage().shouldNotBeNull().status shouldBe 503 }
                        }
                        endpoint.requests.size shouldBe 1
                    }
                }
            }

            it("get no stage calls for that time, and requests that need them are refused at once") {
                ScriptedEndpoint(resting("20")).use { stage ->
                    ScriptedEndpoint { respond(body = "id: 1\n\n") }.use { engine ->
                        val pools = mapOf("p" to listOf(engine), "s" to listOf(stage))
                        LoopbackDeployment(LoopbackDeployment.CONFIGURATION, pools).use { entry ->
                            val responses = List(3) {
                                entry.get("/resume-staged/a", "r$it", "X-Pieces: 1\r\nX-Piece-Key: key\r\n")
                            }
                            stage.requests.size shouldBe 1
                            responses.map { it?.status } shouldBe listOf(503, 503, 503)
                        }
                    }
                }
            }
        }
    })
