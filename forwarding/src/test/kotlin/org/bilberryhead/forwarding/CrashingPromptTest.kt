package org.bilberryhead.forwarding

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.bilberryhead.core.testing.http.RawMessage
import org.bilberryhead.platform.testing.RowStoreServer
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.WireTables
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private val ENGINE_CONFIGURATION = """
    {"version":1,"routes":[
     {"name":"stream","host":"h","prefix":"/stream/","route_type":"streaming","resumable":true,"timeout_ms":5000,
      "service":"p","max_attempts":2}],
     "services":[{"name":"p","max_conns":40,"engine":{"slots":8}}],
     "tenants":[{"name":"office","api_keys":["k"]}]}
""".trimIndent()

/** Crashes at which a part is held responsible, and those that may happen while that is not yet known. */
private const val MAXIMUM_CRASHES = 5

/** Longest time until an entry knows of a crash. */
private val DETECTION_TIME = 1.seconds

private fun ScriptedEndpoint.Exchange.stream() {
    startStream()
    sendChunk("id: 0\ndata: a\n\n")
    endStream()
}

/** Engines that crash when they begin to answer a prompt with the part `bad`. */
private class CrashingEngines(count: Int) : AutoCloseable {
    val crashes = AtomicInteger()
    val badRequests = AtomicInteger()
    val endpoints = List(count) { ScriptedEndpoint { serve() } }
    val pools get() = mapOf("p" to endpoints)

    private fun ScriptedEndpoint.Exchange.serve() {
        if ("bad:" !in request.header("X-Prompt-Prefix").orEmpty()) return stream()
        badRequests.incrementAndGet()
        crashes.incrementAndGet()
        crashEndpoint()
    }

    override fun close() = endpoints.forEach { it.close() }
}

private fun LoopbackDeployment.generate(id: String, parts: String): RawMessage? = get(
    "/stream/a",
    id,
    "X-Token-Usage: 20,10\r\nX-Prompt-Prefix: ${parts.split(' ').joinToString(",") { "$it:5" }},own-$id:5\r\n",
)

/**
 * Sends requests with the part `bad` until one is refused, and returns the refusal. Each is sent once the entry knows
 * of the crashes before it.
 */
private suspend fun LoopbackDeployment.sendBadUntilRefused(id: String, engines: CrashingEngines): RawMessage? {
    repeat(MAXIMUM_CRASHES) { number ->
        val response = generate("$id-$number", "a bad c$number")
        if (" 503 " in response?.head.orEmpty()) return response
        eventually(DETECTION_TIME) { crashReportCount shouldBeGreaterThanOrEqualTo engines.crashes.get() }
        generate("$id-sound-$number", "a c$number").shouldNotBeNull().head shouldContain " 200 "
    }
    return generate("$id-last", "a bad d")
}

class CrashingPromptTest :
    DescribeSpec({
        describe("a prompt part that crashes each engine that begins to answer it") {
            it("is refused after few crashes instead of crashing the next engine, and requests beside it are served") {
                CrashingEngines(count = 12).use { engines ->
                    LoopbackDeployment(ENGINE_CONFIGURATION, engines.pools).use { entry ->
                        val refusal = entry.sendBadUntilRefused("r", engines).shouldNotBeNull()
                        refusal.head shouldContain " 503 "
                        refusal.header("Retry-After").shouldNotBeNull().toDouble() shouldBeLessThanOrEqualTo 600.0
                        engines.crashes.get() shouldBeLessThanOrEqualTo MAXIMUM_CRASHES
                        val reached = engines.badRequests.get()
                        repeat(10) {
                            entry.generate("again-$it", "a bad e$it").shouldNotBeNull().head shouldContain
                                " 503 "
                        }
                        engines.badRequests.get() shouldBe reached
                        repeat(10) {
                            entry.generate("sound-$it", "a e$it").shouldNotBeNull().head shouldContain " 200 "
                        }
                    }
                }
            }

            it("is refused by an entry that saw none of the crashes, and by one that restarts after all were down") {
                RowStoreServer().use { store ->
                    CrashingEngines(count = 12).use { engines ->
                        val pools = engines.pools
                        fun entry(id: String) =
                            LoopbackDeployment(ENGINE_CONFIGURATION, pools, id = id, sharedStore = store)
                        entry("e1").use { first ->
                            entry("e2").use { second ->
                                first.sendBadUntilRefused("r", engines).shouldNotBeNull().head shouldContain " 503 "
                                val reached = engines.badRequests.get()
                                TimeUnit.SECONDS.sleep(1)
                                second.generate("s", "a bad z").shouldNotBeNull().head shouldContain " 503 "
                                engines.badRequests.get() shouldBe reached
                            }
                        }
                        val reached = engines.badRequests.get()
                        entry("e1").use { restarted ->
                            TimeUnit.SECONDS.sleep(1)
                            restarted.generate("t", "a bad z").shouldNotBeNull().head shouldContain " 503 "
                            restarted.generate("u", "a z").shouldNotBeNull().head shouldContain " 200 "
                        }
                        engines.badRequests.get() shouldBe reached
                    }
                }
            }
        }

        describe("crash reports that are lost when the store comes back from a copy") {
            it("are written again") {
                RowStoreServer().use { store ->
                    CrashingEngines(count = 12).use { engines ->
                        LoopbackDeployment(ENGINE_CONFIGURATION, engines.pools, sharedStore = store).use { entry ->
                            val copy = store.rows.copy()
                            entry.sendBadUntilRefused("r", engines).shouldNotBeNull().head shouldContain " 503 "
                            eventually(5.seconds) { store.rows.keys(WireTables.CRASHES) shouldBe setOf("entry") }
                            // Until all that is known is written.
                            TimeUnit.SECONDS.sleep(2)
                            store.rows.restore(copy)
                            store.rows.keys(WireTables.CRASHES).shouldBeEmpty()
                            eventually(10.seconds) { store.rows.keys(WireTables.CRASHES) shouldBe setOf("entry") }
                        }
                    }
                }
            }
        }

        describe("rows of crash reports that other writers left") {
            it("stop nothing: the other rows are still learnt") {
                RowStoreServer().use { store ->
                    val reports = (1..3).joinToString(",") {
                        """{"endpoint":"x$it","startedAt":1,"suspects":["bad"]}"""
                    }
                    store.rows.put(RowKey(WireTables.CRASHES, "a"), "[".repeat(30_000))
                    store.rows.put(RowKey(WireTables.CRASHES, "b"), """{"crashes":[{"endpoint":7,"startedAt":null}]}""")
                    store.rows.put(RowKey(WireTables.CRASHES, "c"), """{"crashes":[$reports]}""")
                    store.rows.put(RowKey(WireTables.CRASHES, "entry"), "no row")
                    val endpoint = ScriptedEndpoint { stream() }
                    LoopbackDeployment(ENGINE_CONFIGURATION, mapOf("p" to listOf(endpoint)), sharedStore = store).use {
                        TimeUnit.SECONDS.sleep(1)
                        it.generate("r", "a bad").shouldNotBeNull().head shouldContain " 503 "
                        it.generate("s", "a").shouldNotBeNull().head shouldContain " 200 "
                    }
                    endpoint.close()
                }
            }
        }

        describe("answers that break off although their engines live") {
            it("are no crashes: the parts of their prompts are still served") {
                val broken = AtomicInteger()
                val endpoints = List(4) {
                    ScriptedEndpoint {
                        if (id.startsWith("broken")) {
                            broken.incrementAndGet()
                            resetConnection()
                        } else {
                            stream()
                        }
                    }
                }
                LoopbackDeployment(ENGINE_CONFIGURATION, mapOf("p" to endpoints)).use { entry ->
                    repeat(8) { entry.generate("broken-$it", "a b") }
                    eventually(2.seconds) { broken.get() shouldBe 16 }
                    entry.generate("sound", "a b").shouldNotBeNull().head shouldContain " 200 "
                }
                endpoints.forEach { it.close() }
            }
        }
    })
