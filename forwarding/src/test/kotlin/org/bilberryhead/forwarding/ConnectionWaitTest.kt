package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.testing.http.RawMessage
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val REST_OF_HEAD = " HTTP/1.1\r\nHost: h\r\nX-Api-Key: k\r\nX-Request-Id: "

class ConnectionWaitTest :
    DescribeSpec({
        val narrow = LoopbackDeployment.CONFIGURATION.replace(""""p","max_conns":40""", """"p","max_conns":1""")

        fun LoopbackDeployment.begin(path: String): Socket = connect().apply {
            getOutputStream().writeText("GET $path$REST_OF_HEAD${path.substringAfterLast('/')}\r\n\r\n")
        }

        fun Socket.response(): RawMessage = getInputStream().readMessage().shouldNotBeNull()

        /** Lets the entry handle what was sent to it, for which there is no signal. */
        fun settle() = TimeUnit.MILLISECONDS.sleep(150)

        describe("a request that waits for a connection to an endpoint") {
            it("is sent to an endpoint that appears") {
                ScriptedEndpoint { awaitClose() }.use { busy ->
                    ScriptedEndpoint { respond() }.use { added ->
                        LoopbackDeployment(narrow, mapOf("p" to listOf(busy))).use { entry ->
                            entry.begin("/long/held").use {
                                busy.awaitRequest()
                                entry.begin("/order/waiting").use { waiting ->
                                    settle()
                                    entry.change(pools = mapOf("p" to listOf(busy, added)))
                                    waiting.response().status shouldBe 200
                                }
                            }
                        }
                    }
                }
            }

            it("is sent when a new configuration allows more connections") {
                ScriptedEndpoint { if (id == "held") awaitClose() else respond() }.use { endpoint ->
                    LoopbackDeployment(narrow, mapOf("p" to listOf(endpoint))).use { entry ->
                        entry.begin("/long/held").use {
                            endpoint.awaitRequest()
                            entry.begin("/order/waiting").use { waiting ->
                                settle()
                                entry.change(LoopbackDeployment.CONFIGURATION.replace("\"version\":1", "\"version\":2"))
                                waiting.response().status shouldBe 200
                            }
                        }
                    }
                }
            }

            it("is not passed over because one before it may not use the endpoint that becomes free") {
                val released = CountDownLatch(1)
                val handler: ScriptedEndpoint.Exchange.() -> Unit = {
                    when (id) {
                        "held" -> awaitClose()
                        "failing" -> closeConnection()
                        "released" -> released.await().also { respond() }
                        else -> respond()
                    }
                }
                deployNarrow(narrow, handler) { entry, endpoints ->
                    entry.begin("/long/held").use {
                        settle()
                        entry.begin("/lookup/failing").use {
                            settle()
                            entry.begin("/order/released").use {
                                settle()
                                entry.begin("/order/waiting").use { waiting ->
                                    settle()
                                    endpoints.flatMap { it.requests }.map { it.header("X-Request-Id") } shouldBe
                                        listOf("held", "failing", "released")
                                            .sortedBy { id -> endpoints.indexOfFirst { it.hasRequest(id) } }
                                    released.countDown()
                                    waiting.response().status shouldBe 200
                                }
                            }
                        }
                    }
                }
            }
        }
    })

private fun ScriptedEndpoint.hasRequest(id: String) = requests.any { it.header("X-Request-Id") == id }

private fun deployNarrow(
    configuration: String,
    handler: ScriptedEndpoint.Exchange.() -> Unit,
    use: (LoopbackDeployment, List<ScriptedEndpoint>) -> Unit,
) {
    val endpoints = List(2) { ScriptedEndpoint(handler) }
    try {
        LoopbackDeployment(configuration, mapOf("p" to endpoints)).use { use(it, endpoints) }
    } finally {
        endpoints.forEach { it.close() }
    }
}
