package org.bilberryhead.forwarding

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.platform.testing.RowStoreServer
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.WireTables
import kotlin.time.Duration.Companion.seconds

private val CONFIGURATION_ROW = RowKey(WireTables.OPERATOR, WireTables.CONFIGURATION_KEY)

/** A configuration whose first route has another path. */
private fun configurationWith(version: Int, path: String) = LoopbackDeployment.CONFIGURATION
    .replace("\"version\":1", "\"version\":$version")
    .replace("/lookup/", path)

private fun rowsOfOthers(count: Int) = (1..count).associate { RowKey("other", "row-$it") to "{}" }

class StoreRestoreTest :
    DescribeSpec({
        describe("an entry whose store comes back from a copy and gives out versions again") {
            it("follows a configuration that the store accepts then") {
                // Guards against a configuration that is never read, since its version is lower than the one known.
                ScriptedEndpoint { respond() }.use { endpoint ->
                    RowStoreServer().use { store ->
                        val pools = mapOf("p" to listOf(endpoint))
                        LoopbackDeployment(LoopbackDeployment.CONFIGURATION, pools, sharedStore = store).use { entry ->
                            val copy = store.rows.copy()
                            rowsOfOthers(4).forEach { (row, text) -> store.rows.put(row, text) }
                            store.rows.put(CONFIGURATION_ROW, configurationWith(version = 2, path = "/lost/"))
                            eventually(5.seconds) { entry.get("/lost/a")?.status shouldBe 200 }
                            val accepted = mapOf(CONFIGURATION_ROW to configurationWith(version = 3, path = "/new/"))
                            store.rows.restore(copy, writtenAgain = accepted + rowsOfOthers(20))
                            eventually(5.seconds) { entry.get("/new/a")?.status shouldBe 200 }
                        }
                    }
                }
            }

            it("registers again, and goes on as the member that it was") {
                ScriptedEndpoint { respond() }.use { endpoint ->
                    RowStoreServer().use { store ->
                        val pools = mapOf("p" to listOf(endpoint))
                        val copy = store.rows.copy()
                        LoopbackDeployment(LoopbackDeployment.CONFIGURATION, pools, sharedStore = store).use {
                            eventually(5.seconds) { store.rows.keys(WireTables.ENTRIES) shouldBe setOf("entry") }
                            store.rows.restore(copy)
                            eventually(10.seconds) {
                                store.rows.keys(WireTables.ENTRIES) shouldBe setOf("entry")
                                store.rows.keys(WireTables.LEASES) shouldBe setOf("entry")
                            }
                        }
                    }
                }
            }
        }
    })
