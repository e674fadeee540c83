package org.bilberryhead.system

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.http.HttpMethod
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.operator.ChangeResponse
import org.bilberryhead.platform.ChangeOutcome
import org.bilberryhead.platform.HttpPlatform
import org.bilberryhead.platform.TableLog
import java.util.UUID
import kotlin.time.Clock

private const val LEAVER = "orders-0"
private const val OTHER = "orders-1"
private const val LAG_MILLIS = 2_000

/** Number of changes from which on a starting entry looks for a snapshot in the object store. */
private const val LONG_LOG = 510L

class PlatformFaultTest :
    DescribeSpec({
        val system = TestSystem(ordersPlan(orders = 2))
        val http = HttpCalls()
        beforeSpec { system.start() }
        beforeTest { system.clearEffects() }
        afterTest { system.fault("platform", """{"service":"VMS","kind":"NONE"}""") }
        afterSpec {
            system.close()
            http.close()
        }

        suspend fun listVms(leaver: String, lagMillis: Int = 0) {
            val list = """[{"vm":"vm-$LEAVER","state":"$leaver"},{"vm":"vm-$OTHER","state":"LIVE"}]"""
            http.call(HttpMethod.Put, "${system.standinUrl()}/vms?lagMillis=$lagMillis", list).status shouldBe 200
        }

        suspend fun sendOrders(): List<String> {
            system.clearEffects()
            val answers = coroutineScope { List(20) { async { system.send(Kind.ORDER, it % 2) } }.awaitAll() }
            answers.filterNot { it.isAnswered }.shouldBeEmpty()
            return system.effects().map { it.endpoint }
        }

        suspend fun shouldGetWorkAgain() = eventually(EVENT_LIMIT) { (LEAVER in sendOrders()) shouldBe true }

        suspend fun changePool(change: (Pool) -> Pool) {
            val tables = system.tables(entry = 0).shouldNotBeNull()
            val proposed = TableChange(
                id = ChangeId(UUID.randomUUID().toString()),
                baseVersion = tables.version,
                author = "",
                madeAt = Clock.System.now(),
                putPools = listOf(change(tables.pools.getValue(PoolName("orders")))),
            )
            system.propose(proposed).shouldBeInstanceOf<ChangeResponse.Accepted>()
        }

        describe("a VM list that shows a leaving VM as live") {
            beforeTest { listVms("LIVE") }

            it("gives no new work to an endpoint whose sidecar leaves, and cuts no order off") {
                OrderStream(system).timeUntilNoWork(LEAVER, "sidecar leaves, stale VM list") {
                    system.sidecars.getValue(LEAVER).signal(Signal.TERM)
                }
                system.sidecars.getValue(LEAVER).awaitEnd()
                system.startSidecar(LEAVER)
                repeat(2) { system.awaitEntry(it) }
            }

            it("gives no new work to an endpoint that operators take out of its pool, and cuts no order off") {
                val before = system.tables(entry = 0).shouldNotBeNull().pools.getValue(PoolName("orders"))
                OrderStream(system).timeUntilNoWork(LEAVER, "taken out of the pool, stale VM list") {
                    changePool { pool -> pool.copy(endpoints = pool.endpoints.filter { it.id.value != LEAVER }) }
                }
                changePool { before }
                shouldGetWorkAgain()
            }

            it("gives no new work to an endpoint whose VM it shows as leaving late") {
                OrderStream(system).timeUntilNoWork(LEAVER, "VM list shows it $LAG_MILLIS ms late") {
                    listVms("LEAVING", LAG_MILLIS)
                }
                listVms("LIVE")
                shouldGetWorkAgain()
            }
        }

        describe("a VM list that is down") {
            it("leaves the last list in force") {
                listVms("LEAVING")
                eventually(EVENT_LIMIT) { sendOrders().toSet() shouldBe setOf(OTHER) }
                system.fault("platform", """{"service":"VMS","kind":"DOWN"}""")

                listVms("LIVE")
                repeat(5) { sendOrders().toSet() shouldBe setOf(OTHER) }

                system.fault("platform", """{"service":"VMS","kind":"NONE"}""")
                shouldGetWorkAgain()
            }
        }

        describe("an object store that is down") {
            it("does not keep an entry from starting after a long log") {
                val pool = system.tables(entry = 0).shouldNotBeNull().pools.getValue(PoolName("orders"))
                HttpPlatform(system.standinUrl()).use { platform ->
                    val log = TableLog(platform)
                    val head = system.tables(entry = 0).shouldNotBeNull().version.value
                    for (version in head until head + LONG_LOG) {
                        val change = TableChange(
                            id = ChangeId("long-$version"),
                            baseVersion = TableVersion(version),
                            author = "",
                            madeAt = Clock.System.now(),
                            putPools = listOf(pool.copy(concurrency = pool.concurrency + (version % 2).toInt())),
                        )
                        log.commit(change).shouldBeInstanceOf<ChangeOutcome.Committed>()
                    }
                }
                system.fault("platform", """{"service":"OBJECTS","kind":"DOWN"}""")
                system.entries.forEach { it.kill() }
                system.entries.indices.forEach { system.startEntry(it) }
                system.entries.indices.forEach { system.awaitEntry(it) }

                val versions = system.entries.indices.map { system.tables(it).shouldNotBeNull().version.value }
                versions.all { it > LONG_LOG } shouldBe true
                sendOrders().size shouldBe 20
            }
        }
    })
