package org.bilberryhead.system

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.http.HttpMethod
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.order.EngineState
import org.bilberryhead.core.order.ModelVersion
import org.bilberryhead.core.tables.EngineConfiguration
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Stage
import org.bilberryhead.operator.ChangeResponse

/** One order that the stand-in recorded. */
@Serializable
private data class GivenOrder(val endpoint: String, val fencingNumber: Long, val order: String, val accepted: Boolean)

private const val CHECKING = "checking"
private const val IGNORING = "ignoring"

private val plan = SystemPlan(
    routes = listOf(CHECKING, IGNORING).map { Route(RequestKind(it), listOf(Stage(StageName("run"), PoolName(it)))) },
    pools = mapOf(CHECKING to 1, IGNORING to 1),
    checking = setOf(CHECKING),
    sidecarSettings = "engineOrders: {reconcileInterval: 1s}",
)

private fun load(model: String) = """{"type":"load_model","model":"$model"}"""

private fun unload(model: String) = """{"type":"unload_model","model":"$model"}"""

/** The engines of a system, each the only endpoint of its pool. */
private class Engines(private val system: TestSystem) {
    suspend fun want(pool: String, model: String, sidecar: SocketAddress? = null) {
        val tables = system.tables(entry = 0).shouldNotBeNull()
        val row = tables.pools.getValue(PoolName(pool))
        val endpoints = row.endpoints.map { it.copy(sidecar = sidecar ?: it.sidecar) }
        val change = system.changeOf(tables, row.copy(endpoints = endpoints, engine = EngineConfiguration(model)))
        system.propose(change).shouldBeInstanceOf<ChangeResponse.Accepted>()
    }

    suspend fun shouldHave(pool: String, model: String) = eventually(EVENT_LIMIT) {
        val loaded = Json.decodeFromString<EngineState>(system.standin(HttpMethod.Get, "/endpoints/$pool-0/engine"))
        loaded.models shouldBe setOf(ModelVersion(model))
    }

    suspend fun orders(pool: String): List<GivenOrder> =
        Json.decodeFromString<List<GivenOrder>>(system.standin(HttpMethod.Get, "/orders"))
            .filter { it.endpoint == "$pool-0" }

    suspend fun holdNextOrder(pool: String) = system.fault("engines/$pool-0", """{"kind":"HOLD","calls":1}""")

    suspend fun shouldHoldOne(pool: String) = eventually(EVENT_LIMIT) {
        system.standin(HttpMethod.Get, "/engines/$pool-0/held") shouldBe "1"
    }

    suspend fun release(pool: String) {
        system.standin(HttpMethod.Delete, "/engines/$pool-0/held")
    }
}

class EngineOrderTest :
    DescribeSpec({
        val system = TestSystem(plan)
        val engines = Engines(system)
        beforeSpec { system.start() }
        beforeTest { system.standin(HttpMethod.Delete, "/orders") }
        afterTest { system.storeFault("NONE") }
        afterSpec { system.close() }

        describe("a row that asks for a model") {
            it("brings each order to the engine once, with the sidecar's number") {
                engines.want(CHECKING, "model-1")
                engines.shouldHave(CHECKING, "model-1")
                engines.want(CHECKING, "model-2")
                engines.shouldHave(CHECKING, "model-2")

                engines.orders(CHECKING).map { it.order to it.fencingNumber } shouldContainExactly
                    listOf(load("model-1") to 1L, load("model-2") to 1L, unload("model-1") to 1L)
            }
        }

        describe("a sidecar that starts while the store is down") {
            it("serves requests and gives no order until it has a number") {
                val endpoint = "$CHECKING-0"
                system.sidecars.getValue(endpoint).kill()
                engines.want(CHECKING, "model-3")
                system.storeFault("DOWN")
                system.startSidecar(endpoint)
                repeat(2) { system.awaitEntry(it) }

                eventually(EVENT_LIMIT) {
                    system.sidecars.getValue(endpoint).log shouldContain "orders: call of the store failed"
                }
                system.send(CHECKING).isAnswered shouldBe true
                engines.orders(CHECKING).shouldBeEmpty()

                system.storeFault("NONE")
                engines.shouldHave(CHECKING, "model-3")
                engines.orders(CHECKING).map { it.fencingNumber }.toSet() shouldBe setOf(2L)
            }
        }

        listOf(CHECKING, IGNORING).forEach { pool ->
            describe("a sidecar that is paused with an order on its way, beside a successor, and wakes up ($pool)") {
                it("leaves the engine with what the successor wants") {
                    engines.want(pool, "model-4")
                    engines.shouldHave(pool, "model-4")
                    val old = system.sidecars.getValue("$pool-0")
                    engines.holdNextOrder(pool)
                    engines.want(pool, "model-5")
                    engines.shouldHoldOne(pool)
                    old.signal(Signal.STOP)
                    val (_, address) = system.startSuccessorOf("$pool-0")
                    engines.want(pool, "model-6", address)
                    engines.shouldHave(pool, "model-6")
                    val newNumber = engines.orders(pool).maxOf { it.fencingNumber }

                    engines.release(pool)
                    old.signal(Signal.CONT)

                    eventually(EVENT_LIMIT) { old.log shouldContain "orders: give no more orders, reason SUPERSEDED" }
                    val late = engines.orders(pool).filter { it.order == load("model-5") }
                    late.map { it.accepted } shouldContainExactly listOf(pool == IGNORING)
                    (late.single().fencingNumber < newNumber) shouldBe true
                    engines.shouldHave(pool, "model-6")
                    if (pool == IGNORING) {
                        engines.orders(pool).last().order shouldBe unload("model-5")
                        engines.orders(pool).last().fencingNumber shouldBe newNumber
                    }
                }
            }
        }
    })
