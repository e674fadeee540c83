package org.bilberryhead.forwarding

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import org.bilberryhead.platform.testing.RowStoreServer
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.WireTables
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** All endpoints of a [LoopbackDeployment] are in this data centre. */
private val EVACUATION = RowKey(WireTables.OPERATOR, "evacuate/x")

class EvacuationTest :
    DescribeSpec({
        describe("the endpoints of an evacuated data centre") {
            it("get no requests until the evacuation is withdrawn; callers are told at once that theirs have not run") {
                ScriptedEndpoint { respond() }.use { endpoint ->
                    RowStoreServer().use { store ->
                        val pools = mapOf("p" to listOf(endpoint))
                        LoopbackDeployment(LoopbackDeployment.CONFIGURATION, pools, sharedStore = store).use { entry ->
                            entry.get("/order/a")?.status shouldBe 200
                            store.rows.put(EVACUATION, "{}")
                            eventually(5.seconds) { entry.get("/order/a")?.status shouldBe 503 }
                            val before = endpoint.requests.size
                            repeat(3) { entry.get("/lookup/a", "l$it").shouldNotBeNull().status shouldBe 503 }
                            endpoint.requests.size shouldBe before
                            store.rows.remove(EVACUATION)
                            eventually(5.seconds) { entry.get("/order/a")?.status shouldBe 200 }
                        }
                    }
                }
            }

            it("finish the requests that they were sent before") {
                val evacuated = CountDownLatch(1)
                val waiting: ScriptedEndpoint.Exchange.() -> Unit = {
                    if (id == "long") evacuated.await(10, TimeUnit.SECONDS)
                    respond()
                }
                ScriptedEndpoint(waiting).use { endpoint ->
                    RowStoreServer().use { store ->
                        val pools = mapOf("p" to listOf(endpoint))
                        LoopbackDeployment(LoopbackDeployment.CONFIGURATION, pools, sharedStore = store).use { entry ->
                            entry.connect().use { caller ->
                                val headers = "Host: h\r\nX-Request-Id: long\r\nX-Api-Key: k"
                                caller.getOutputStream().writeText("GET /long/a HTTP/1.1\r\n$headers\r\n\r\n")
                                endpoint.awaitRequest()
                                store.rows.put(EVACUATION, "{}")
                                eventually(5.seconds) { entry.get("/order/a")?.status shouldBe 503 }
                                evacuated.countDown()
                                caller.getInputStream().readMessage()?.status shouldBe 200
                            }
                        }
                    }
                }
            }

            it("get no requests from an entry that cannot reach the store and learns of the evacuation from another") {
                ScriptedEndpoint { respond() }.use { endpoint ->
                    RowStoreServer().use { store ->
                        store.rows.put(EVACUATION, "{}")
                        val pools = mapOf("p" to listOf(endpoint))
                        LoopbackDeployment(LoopbackDeployment.CONFIGURATION, pools, sharedStore = store).use { first ->
                            LoopbackDeployment(
                                configuration = null,
                                pools = emptyMap(),
                                seeds = listOf(first.settings.peers),
                                isStoreReachable = false,
                                id = "second",
                            ).use { second ->
                                second.isReady() shouldBe true
                                second.get("/order/a")?.status shouldBe 503
                                endpoint.requests.size shouldBe 0
                            }
                        }
                    }
                }
            }
        }
    })
