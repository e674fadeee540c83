package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.serving.ColdStartLimit
import org.bilberryhead.platform.testing.RowStoreServer
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.WireTables
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private const val PER_SECOND = 3
private val COLD_POOLS = listOf("p", "s").fold(LoopbackDeployment.CONFIGURATION) { text, pool ->
    text.replace(""""$pool","max_conns":40""", """"$pool","max_conns":40,"cold_s":30,"cold_per_s":$PER_SECOND""")
}

/** An endpoint that notes when its requests arrive. */
private class TimedEndpoint(response: ScriptedEndpoint.Exchange.() -> Unit = { respond() }) : AutoCloseable {
    val arrivals = CopyOnWriteArrayList<TimeMark>()
    val endpoint = ScriptedEndpoint {
        arrivals += TimeSource.Monotonic.markNow()
        response()
    }

    /** The most requests that arrived within 900 ms; those sent a second apart may arrive somewhat closer. */
    fun peak(): Int = arrivals.map { it.elapsedNow() }.let { ages ->
        ages.maxOfOrNull { first -> ages.count { it <= first && it > first - 900.milliseconds } } ?: 0
    }

    override fun close() = endpoint.close()
}

/** Starts an entry that has known the members for long enough; [use] may make endpoints cold. */
private fun withEntry(
    pools: Map<String, List<TimedEndpoint>>,
    configuration: String = COLD_POOLS,
    use: (LoopbackDeployment, RowStoreServer) -> Unit,
) = RowStoreServer().use { store ->
    val endpoints = pools.mapValues { (_, pool) -> pool.map { it.endpoint } }
    LoopbackDeployment(configuration, endpoints, sharedStore = store).use { entry ->
        TimeUnit.MILLISECONDS.sleep((ColdStartLimit.SETTLING_TIME + 500.milliseconds).inWholeMilliseconds)
        use(entry, store)
    }
}

/** Writes into the row of the first endpoint of [pool] that it stays cold for 30 s. */
private fun RowStoreServer.writeCold(pool: String, endpoint: TimedEndpoint) {
    val row = endpointRows(mapOf(pool to listOf(endpoint.endpoint))).single().second
    rows.put(RowKey(WireTables.ENDPOINTS, "$pool-0"), row.dropLast(1) + ""","cold_left_ms":30000}""")
}

/** Makes the first endpoint of [pool] cold, and waits until the entry knows it. */
private fun RowStoreServer.makeCold(pool: String, endpoint: TimedEndpoint, entry: LoopbackDeployment) {
    writeCold(pool, endpoint)
    awaitColdCount(entry, 1)
}

private fun awaitColdCount(entry: LoopbackDeployment, count: Int) {
    val isReached = generateSequence { entry.coldCount() }
        .take(250)
        .onEach { TimeUnit.MILLISECONDS.sleep(20) }
        .any { it == count }
    check(isReached) { "not $count cold endpoints" }
}

/** Sends [count] requests at the same time and returns their statuses. */
private fun LoopbackDeployment.getTogether(count: Int, path: String = "/order/a", headers: String = ""): List<Int?> =
    List(count) { CompletableFuture.supplyAsync({ get(path, "r$it", headers)?.status }, { Thread(it).start() }) }
        .map { it.get(10, TimeUnit.SECONDS) }

class ColdEndpointTest :
    DescribeSpec({
        describe("a cold endpoint") {
            it("gets no more than its permits, and the other requests go to another endpoint at once") {
                TimedEndpoint().use { cold ->
                    TimedEndpoint().use { warm ->
                        withEntry(mapOf("p" to listOf(cold, warm))) { entry, store ->
                            store.makeCold("p", cold, entry)
                            val begin = TimeSource.Monotonic.markNow()
                            repeat(2) { entry.getTogether(15).toSet() shouldBe setOf(200) }
                            begin.elapsedNow() shouldBeLessThanOrEqualTo 2.seconds
                            cold.peak() shouldBeLessThanOrEqualTo PER_SECOND
                            cold.arrivals.size + warm.arrivals.size shouldBe 30
                        }
                    }
                }
            }

            it("is waited for when it is the only one, also by requests that shared its permit while connecting") {
                TimedEndpoint().use { cold ->
                    withEntry(mapOf("p" to listOf(cold))) { entry, store ->
                        store.makeCold("p", cold, entry)
                        entry.getTogether(8) shouldBe List(8) { 200 }
                        cold.peak() shouldBe PER_SECOND
                        entry.failureCount shouldBe 0
                    }
                }
            }

            it("gets what it can serve as before in a pool without a limit for cold endpoints") {
                TimedEndpoint().use { endpoint ->
                    withEntry(mapOf("p" to listOf(endpoint)), LoopbackDeployment.CONFIGURATION) { entry, store ->
                        store.writeCold("p", endpoint)
                        TimeUnit.MILLISECONDS.sleep(500)
                        val begin = TimeSource.Monotonic.markNow()
                        entry.getTogether(15).toSet() shouldBe setOf(200)
                        begin.elapsedNow() shouldBeLessThanOrEqualTo 1.seconds
                    }
                }
            }
        }

        describe("an endpoint whose evacuation was withdrawn") {
            it("counts as cold although its row does not say so") {
                TimedEndpoint().use { endpoint ->
                    withEntry(mapOf("p" to listOf(endpoint))) { entry, store ->
                        val evacuation = RowKey(WireTables.OPERATOR, "evacuate/x")
                        store.rows.put(evacuation, "{}")
                        generateSequence { entry.get("/order/a")?.status }.first { it == 503 }
                        store.rows.remove(evacuation)
                        awaitColdCount(entry, 1)
                        endpoint.arrivals.clear()
                        entry.getTogether(8) shouldBe List(8) { 200 }
                        endpoint.peak() shouldBe PER_SECOND
                    }
                }
            }
        }

        describe("a cold endpoint of preparation stages") {
            it("gets no more calls than its permits, and no releases of results in addition") {
                val computed = AtomicInteger()
                var address = ""
                TimedEndpoint {
                    val items = Regex("\"piece\"").findAll(request.body).count()
                    val handles = List(items) { """{"handle":"$address/${computed.incrementAndGet()}"}""" }
                    respond(body = """{"items":[${handles.joinToString(",")}]}""", headers = "")
                }.use { stage ->
                    address = stage.endpoint.address
                    withEntry(mapOf("p" to listOf(TimedEndpoint()), "s" to listOf(stage))) { entry, store ->
                        store.makeCold("s", stage, entry)
                        val headers = "X-Pieces: 2,1\r\nX-Piece-Key: k\r\n"
                        entry.getTogether(8, "/staged/a", headers)
                        stage.peak() shouldBeLessThanOrEqualTo PER_SECOND
                        (stage.arrivals.size > PER_SECOND) shouldBe true
                        stage.endpoint.requests.filterNot { "stage-run" in it.head }.shouldBeEmpty()
                    }
                }
            }
        }
    })
