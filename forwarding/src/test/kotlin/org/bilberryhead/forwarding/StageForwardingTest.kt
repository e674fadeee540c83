package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

class StageForwardingTest :
    DescribeSpec({
        describe("a request with stages") {
            it("is sent to the engine with the results of its last stage as inputs") {
                val computed = AtomicInteger()
                ScriptedEndpoint {
                    val items = Regex("\"piece\"").findAll(request.body).count()
                    val handles = List(items) { """{"handle":"127.0.0.1:9/${computed.incrementAndGet()}"}""" }
                    respond(body = """{"items":[${handles.joinToString(",")}]}""", headers = "")
                }.use { stage ->
                    ScriptedEndpoint { respond(body = "id: 1\n\n") }.use { engine ->
                        val pools = mapOf("p" to listOf(engine), "s" to listOf(stage))
                        LoopbackDeployment(LoopbackDeployment.CONFIGURATION, pools).use { entry ->
                            entry.get("/staged/a", headers = "X-Pieces: 2,1\r\nX-Piece-Key: key\r\n")
                            engine.requests.single().header("X-Inputs") shouldBe "127.0.0.1:9/3"
                            val calls = stage.requests.filter { "stage-run" in it.head }.map { it.body }
                            calls.first() shouldContain "\"key\":\"key\""
                            calls.last() shouldContain "\"inputs\":[\"127.0.0.1:9/1\",\"127.0.0.1:9/2\"]"
                            calls.last() shouldNotContain "\"key\""
                        }
                    }
                }
            }
        }

        describe("results that a later stage reads") {
            it("are released during its call, once its endpoint has had time to fetch them") {
                val computed = AtomicInteger()
                val releases = LinkedBlockingQueue<String>()
                val releasedDuringCall = AtomicReference<String>()
                var address = ""
                ScriptedEndpoint {
                    if ("stage-free" in request.head) releases += request.body
                    val input = Regex("\"inputs\":\\[\"([^\"]*)\"").find(request.body)?.groupValues?.get(1)
                    // From the first request the entry learns that no other coordinator uses the endpoint.
                    if (input != null && computed.get() > 2) {
                        val bodies = generateSequence { releases.poll(3, TimeUnit.SECONDS) }
                        releasedDuringCall.set(bodies.find { input in it })
                    }
                    respond(body = """{"items":[{"handle":"$address/${computed.incrementAndGet()}"}]}""", headers = "")
                }.use { stage ->
                    address = stage.address
                    ScriptedEndpoint { respond(body = "id: 1\n\n") }.use { engine ->
                        val pools = mapOf("p" to listOf(engine), "s" to listOf(stage))
                        LoopbackDeployment(LoopbackDeployment.CONFIGURATION, pools).use { entry ->
                            repeat(2) { entry.get("/staged/a", "r$it", "X-Pieces: 1,1\r\nX-Piece-Key: key\r\n") }
                            releasedDuringCall.get().shouldNotBeNull()
                        }
                    }
                }
            }
        }
    })
