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

/** An engine order that the stand-in recorded. */
@Serializable
private data class RecordedOrder(
    val endpoint: String,
    val fencingNumber: Long,
    val order: String,
    val accepted: Boolean,
)

private const val CHECKING = "checking"
private const val IGNORING = "ignoring"

private val plan = SystemPlan(
    routes = listOf(CHECKING, IGNORING).map { Route(RequestKind(it), listOf(Stage(StageName("run"), PoolName(it)))) },
    pools = mapOf(CHECKING to 1, IGNORING to 1),
    checkingPools = setOf(CHECKING),
    sidecarSettings = "engineOrders: {reconcileInterval: 1s}",
)

private fun loadOrder(model: String) = """{"type":"load_model","model":"$model"}"""

private fun unloadOrder(model: String) = """{"type":"unload_model","model":"$model"}"""

/** The engines of a system; each is the only endpoint of its pool. */
private class Engines(private val system: TestSystem) {
    suspend fun requireModel(pool: String, model: String, sidecar: SocketAddress? = null) {
        val tables = system.tables(entry = 0).shouldNotBeNull()
        val row = tables.pools.getValue(PoolName(pool))
        val endpoints = row.endpoints.map { it.copy(sidecar = sidecar ?: it.sidecar) }
        val change = system.changeOf(tables, row.copy(endpoints = endpoints, engine = EngineConfiguration(model)))
        system.propose(change).shouldBeInstanceOf<ChangeResponse.Accepted>()
    }

    suspend fun shouldHaveModel(pool: String, model: String) = eventually(EVENT_TIMEOUT) {
        val loaded = Json.decodeFromString<EngineState>(system.standin(HttpMethod.Get, "/endpoints/$pool-0/engine"))
        loaded.models shouldBe setOf(ModelVersion(model))
    }

    suspend fun orders(pool: String): List<RecordedOrder> =
        Json.decodeFromString<List<RecordedOrder>>(system.standin(HttpMethod.Get, "/orders"))
            .filter { it.endpoint == "$pool-0" }

    suspend fun holdNextOrder(pool: String) = system.setFault("engines/$pool-0", """{"kind":"HOLD","calls":1}""")

    suspend fun shouldHoldOneOrder(pool: String) = eventually(EVENT_TIMEOUT) {
        system.standin(HttpMethod.Get, "/engines/$pool-0/held") shouldBe "1"
    }

    suspend fun releaseHeldOrder(pool: String) {
        system.standin(HttpMethod.Delete, "/engines/$pool-0/held")
    }
}

class EngineOrderTest :
    DescribeSpec({
        val system = TestSystem(plan)
        val engines = Engines(system)
        beforeSpec { system.start() }
        beforeTest { system.standin(HttpMethod.Delete, "/orders") }
        afterTest { system.setStoreFault("NONE") }
        afterSpec { system.close() }

        describe("a table row that requires a model") {
            it("sends each order to the engine once, with the sidecar's fencing number") {
                engines.requireModel(CHECKING, "model-1")
                engines.shouldHaveModel(CHECKING, "model-1")
                engines.requireModel(CHECKING, "model-2")
                engines.shouldHaveModel(CHECKING, "model-2")

                engines.orders(CHECKING).map { it.order to it.fencingNumber } shouldContainExactly
                    listOf(loadOrder("model-1") to 1L, loadOrder("model-2") to 1L, unloadOrder("model-1") to 1L)
            }
        }

        describe("a sidecar that starts while the store is down") {
            it("serves requests and sends no order until it has a fencing number") {
                val endpoint = "$CHECKING-0"
                system.sidecars.getValue(endpoint).kill()
                engines.requireModel(CHECKING, "model-3")
                system.setStoreFault("DOWN")
                system.startSidecar(endpoint)
                repeat(2) { system.awaitEntry(it) }

                eventually(EVENT_TIMEOUT) {
                    system.sidecars.getValue(endpoint).log shouldContain "orders: call of the store failed"
                }
                system.send(CHECKING).isAnswered shouldBe true
                engines.orders(CHECKING).shouldBeEmpty()

                system.setStoreFault("NONE")
                engines.shouldHaveModel(CHECKING, "model-3")
                engines.orders(CHECKING).map { it.fencingNumber }.toSet() shouldBe setOf(2L)
            }
        }

        listOf(CHECKING, IGNORING).forEach { pool ->
            describe("a sidecar that is paused with an order in transit and resumes beside a successor ($pool)") {
                it("leaves the engine in the state that the successor requires") {
                    engines.requireModel(pool, "model-4")
                    engines.shouldHaveModel(pool, "model-4")
                    val paused = system.sidecars.getValue("$pool-0")
                    engines.holdNextOrder(pool)
                    engines.requireModel(pool, "model-5")
                    engines.shouldHoldOneOrder(pool)
                    paused.signal(Signal.STOP)
                    val (_, address) = system.startSuccessorOf("$pool-0")
                    engines.requireModel(pool, "model-6", address)
                    engines.shouldHaveModel(pool, "model-6")
                    val newNumber = engines.orders(pool).maxOf { it.fencingNumber }

                    engines.releaseHeldOrder(pool)
                    paused.signal(Signal.CONT)

                    eventually(EVENT_TIMEOUT) {
                        paused.log shouldContain "orders: give no more orders, reason SUPERSEDED"
                    }
                    val late = engines.orders(pool).filter { it.order == loadOrder("model-5") }
                    late.map { it.accepted } shouldContainExactly listOf(pool == IGNORING)
                    (late.single().fencingNumber < newNumber) shouldBe true
                    engines.shouldHaveModel(pool, "model-6")
                    if (pool == IGNORING) {
                        engines.orders(pool).last().order shouldBe unloadOrder("model-5")
                        engines.orders(pool).last().fencingNumber shouldBe newNumber
                    }
                }
            }
        }
    })
