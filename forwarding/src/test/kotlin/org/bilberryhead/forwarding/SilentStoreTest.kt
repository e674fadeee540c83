package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.bilberryhead.platform.testing.RowStore
import org.bilberryhead.platform.testing.RowStoreServer
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.WireTables
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Time after which an endpoint that the store no longer lists gets no request (rule DRAIN of the deployments). */
private val DRAIN_NOTICE = 2.seconds

/** Time after which requests are handled as the newest configuration says (rule CONFIG of the deployments). */
private val CONFIGURATION_DELAY = 2.seconds

private val ROW = RowKey(WireTables.ENDPOINTS, "p-0")

private fun sleepUntil(time: Duration, since: TimeSource.Monotonic.ValueTimeMark) =
    TimeUnit.NANOSECONDS.sleep((time - since.elapsedNow()).inWholeNanoseconds.coerceAtLeast(0))

/** An entry that knows two endpoints, which respond with their names, from a store that can fall silent. */
private class EntryOfSilentStore : AutoCloseable {
    private val endpoints = listOf("p-0", "p-1").map { name -> ScriptedEndpoint { respond(body = name) } }
    private val pools = mapOf("p" to endpoints)
    val store = RowStoreServer(RowStore(rowsOf(LoopbackDeployment.CONFIGURATION, pools)))
    val entry = LoopbackDeployment(LoopbackDeployment.CONFIGURATION, emptyMap(), storeAddress = store.address)
    val row = endpointRows(pools).first().second

    fun requestsServedByFirst(): List<Int> =
        (0 until 20).filter { entry.get("/lookup/a", "r$it").shouldNotBeNull().body == "p-0" }

    fun statusOf(path: String): String =
        entry.get(path, "s").shouldNotBeNull().head.substringAfter(' ').substringBefore(' ')

    override fun close() {
        entry.close()
        store.close()
        endpoints.forEach { it.close() }
    }
}

class SilentStoreTest :
    DescribeSpec({
        for (silence in listOf(900, 1200, 1500).map { it.milliseconds }) {
            describe("a sound store that is silent once for $silence") {
                it("does not hold up the removal of an endpoint that it had accepted just before") {
                    EntryOfSilentStore().use {
                        it.store.rows.fallSilentAfterPoll(WireTables.ENDPOINTS, silence)
                        val accepted = TimeSource.Monotonic.markNow()
                        it.store.rows.remove(ROW)
                        sleepUntil(DRAIN_NOTICE, accepted)
                        it.requestsServedByFirst().shouldBeEmpty()
                    }
                }

                it("does not hold up a drain of an endpoint that it had accepted just before") {
                    EntryOfSilentStore().use {
                        it.store.rows.fallSilentAfterPoll(WireTables.ENDPOINTS, silence)
                        val accepted = TimeSource.Monotonic.markNow()
                        it.store.rows.put(ROW, it.row.replace("ready", "draining"))
                        sleepUntil(DRAIN_NOTICE, accepted)
                        it.requestsServedByFirst().shouldBeEmpty()
                    }
                }

                it("does not hold up the removal of an endpoint that it accepts when it goes on") {
                    EntryOfSilentStore().use {
                        it.store.rows.fallSilentAfterPoll(WireTables.ENDPOINTS, silence)
                        TimeUnit.MILLISECONDS.sleep(silence.inWholeMilliseconds + 100)
                        val accepted = TimeSource.Monotonic.markNow()
                        it.store.rows.remove(ROW)
                        // The time between two calls, and as much again as a call may take.
                        sleepUntil(1.5.seconds, accepted)
                        it.requestsServedByFirst().shouldBeEmpty()
                    }
                }

                it("does not hold up a configuration that it had accepted just before") {
                    EntryOfSilentStore().use {
                        it.store.rows.fallSilentAfterPoll(WireTables.OPERATOR, silence)
                        val accepted = TimeSource.Monotonic.markNow()
                        val changed = LoopbackDeployment.CONFIGURATION
                            .replace("\"version\":1", "\"version\":2")
                            .replace("/lookup/", "/find/")
                        it.store.rows.put(RowKey(WireTables.OPERATOR, WireTables.CONFIGURATION_KEY), changed)
                        sleepUntil(CONFIGURATION_DELAY, accepted)
                        it.statusOf("/lookup/a") shouldBe "404"
                        it.statusOf("/find/a") shouldBe "200"
                    }
                }
            }
        }
    })
