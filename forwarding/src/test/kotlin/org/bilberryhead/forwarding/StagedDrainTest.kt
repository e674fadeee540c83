package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class StagedDrainTest :
    DescribeSpec({
        describe("a request that a drain refuses while its first stage is being computed") {
            it("is reported as not run, never reaches its engine or next stage, and has its results released") {
                val returning = CountDownLatch(1)
                val releases = LinkedBlockingQueue<String>()
                var address = ""
                ScriptedEndpoint {
                    if ("stage-free" in request.head) {
                        releases += request.body
                    } else {
                        returning.await(10, TimeUnit.SECONDS)
                    }
                    respond(body = """{"items":[{"handle":"$address/1"}]}""", headers = "")
                }.use { stage ->
                    address = stage.address
                    ScriptedEndpoint { respond(body = "id: 1\n\n") }.use { engine ->
                        val pools = mapOf("p" to listOf(engine), "s" to listOf(stage))
                        LoopbackDeployment(LoopbackDeployment.CONFIGURATION, pools, drainLimit = 4_000).use { entry ->
                            val response = CompletableFuture.supplyAsync {
                                entry.get("/staged/a", headers = "X-Pieces: 1,1\r\nX-Piece-Key: key\r\n")
                            }
                            stage.awaitRequest()
                            val ended = entry.drain()
                            val refusal = response.get(3, TimeUnit.SECONDS).shouldNotBeNull()
                            refusal.status shouldBe 503
                            refusal.body shouldContain "the process ends soon"
                            returning.countDown()
                            releases.poll(3, TimeUnit.SECONDS).shouldNotBeNull() shouldContain "$address/1"
                            ended.await(5, TimeUnit.SECONDS) shouldBe true
                            stage.requests.filter { "stage-run" in it.head } shouldHaveSize 1
                            engine.requests shouldHaveSize 0
                        }
                    }
                }
            }
        }
    })
