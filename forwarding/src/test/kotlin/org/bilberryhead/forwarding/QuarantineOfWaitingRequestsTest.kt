package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import org.bilberryhead.platform.testing.RowStoreServer
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.WireTables
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

private val NARROW_CONFIGURATION = """
    {"version":1,"routes":[
     {"name":"stream","host":"h","prefix":"/stream/","route_type":"streaming","resumable":true,"timeout_ms":20000,
      "service":"p","max_attempts":2},
     {"name":"staged","host":"h","prefix":"/staged/","route_type":"streaming","resumable":true,"timeout_ms":20000,
      "service":"p","max_attempts":2,"stages":[{"service":"s","after":[],"bytes":10}]}],
     "services":[{"name":"p","max_conns":1,"engine":{"slots":8}},{"name":"s","max_conns":40,"pieces":{"slots":1,
      "queue":2,"batch":4,"call_ms":1000,"item_ms":1,"headroom_mb":10,"handle_s":4}}],
     "tenants":[{"name":"office","api_keys":["k"]}]}
""".trimIndent()

/** Writes reports of another entry from which it follows that the part `bad` crashes engines. */
private fun RowStoreServer.reportCrashes() {
    val reports = (1..3).joinToString(",") { """{"endpoint":"x$it","startedAt":1,"suspects":["bad"]}""" }
    rows.put(RowKey(WireTables.CRASHES, "other"), """{"crashes":[$reports]}""")
}

private fun LoopbackDeployment.begin(path: String, parts: String): Socket = connect().apply {
    val id = path.substringAfterLast('/')
    val prompt = parts.split(' ').joinToString(",") { "$it:5" }
    getOutputStream().writeText(
        "GET $path HTTP/1.1\r\nHost: h\r\nX-Api-Key: k\r\nX-Request-Id: $id\r\nX-Deadline-Ms: 15000\r\n" +
            "X-Token-Usage: 20,10\r\nX-Prompt-Prefix: $prompt,own-$id:5\r\nX-Pieces: 1\r\nX-Piece-Key: key\r\n\r\n",
    )
}

private fun Socket.status(): Int? = getInputStream().readMessage().shouldNotBeNull().status

/** Lets the entry handle what was sent to it, for which there is no signal. */
private fun settle() = TimeUnit.MILLISECONDS.sleep(500)

private fun ScriptedEndpoint.Exchange.stream() {
    startStream()
    sendChunk("id: 0\ndata: a\n\n")
    endStream()
}

private fun ScriptedEndpoint.ids() = requests.map { it.header("X-Request-Id") }

class QuarantineOfWaitingRequestsTest :
    DescribeSpec({
        describe("a request whose part is found to crash engines meanwhile") {
            it("is refused and reaches no engine when it waits for a connection") {
                val released = CountDownLatch(1)
                RowStoreServer().use { store ->
                    ScriptedEndpoint { released.await().also { stream() } }.use { engine ->
                        val pools = mapOf("p" to listOf(engine))
                        LoopbackDeployment(NARROW_CONFIGURATION, pools, sharedStore = store).use { entry ->
                            entry.begin("/stream/held", "a").use { held ->
                                engine.awaitRequest()
                                entry.begin("/stream/bad", "a bad").use { bad ->
                                    settle()
                                    store.reportCrashes()
                                    settle()
                                    released.countDown()
                                    held.status() shouldBe 200
                                    bad.status() shouldBe 503
                                    engine.ids() shouldContainExactly listOf("held")
                                }
                            }
                        }
                    }
                }
            }

            it("is refused and reaches no engine when its stages are under way") {
                val released = CountDownLatch(1)
                RowStoreServer().use { store ->
                    ScriptedEndpoint {
                        released.await()
                        respond(body = """{"items":[{"handle":"127.0.0.1:9/1"}]}""", headers = "")
                    }.use { stage ->
                        ScriptedEndpoint { stream() }.use { engine ->
                            val pools = mapOf("p" to listOf(engine), "s" to listOf(stage))
                            LoopbackDeployment(NARROW_CONFIGURATION, pools, sharedStore = store).use { entry ->
                                entry.begin("/staged/bad", "a bad").use { bad ->
                                    stage.awaitRequest()
                                    store.reportCrashes()
                                    settle()
                                    released.countDown()
                                    bad.status() shouldBe 503
                                    engine.ids().shouldBeEmpty()
                                }
                                // The same way leads a sound request to the engine.
                                entry.begin("/staged/sound", "a").use { it.status() shouldBe 200 }
                            }
                        }
                    }
                }
            }

            it("is not sent to a second engine after the first has failed") {
                RowStoreServer().use { store ->
                    val hasFailed = AtomicBoolean()
                    val breakOff: ScriptedEndpoint.Exchange.() -> Unit = {
                        when {
                            id == "bad" -> {
                                store.reportCrashes()
                                settle()
                                closeConnection()
                            }
                            id == "retried" && hasFailed.compareAndSet(false, true) -> closeConnection()
                            else -> stream()
                        }
                    }
                    val engines = List(3) { ScriptedEndpoint(breakOff) }
                    LoopbackDeployment(NARROW_CONFIGURATION, mapOf("p" to engines), sharedStore = store).use { entry ->
                        // The first engine may have run it, which a 503 would deny.
                        entry.begin("/stream/bad", "a bad").use { it.status() shouldBe 502 }
                        settle()
                        engines.flatMap { it.ids() } shouldContainExactly listOf("bad")
                        entry.begin("/stream/retried", "a").use { it.status() shouldBe 200 }
                        engines.flatMap { it.ids() } shouldContainExactlyInAnyOrder listOf("bad", "retried", "retried")
                    }
                    engines.forEach { it.close() }
                }
            }
        }
    })
