package org.bilberryhead.forwarding

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.serving.EntryMembership
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.forwarding.membership.EntryListener
import org.bilberryhead.forwarding.membership.LeaseListener
import org.bilberryhead.forwarding.store.TableReading
import org.bilberryhead.platform.testing.RowStoreServer
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.StoreEra
import org.bilberryhead.platform.wire.StoreRow
import org.bilberryhead.platform.wire.StoreVersion
import org.bilberryhead.platform.wire.WireTables
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private const val LINES_PER_SECOND = 10
private const val SOUND_ROW = """{"dataCentre":"x","peers":"127.0.0.1:9","processorShare":1.0}"""

private val ODD_ROWS = mapOf(
    "nested" to "[".repeat(20_000),
    "large" to SOUND_ROW.replace("1.0", "1e400"),
    "port" to SOUND_ROW.replace(":9\"", ":65536\""),
    "empty" to "",
)
private val ODD_LEASES = mapOf("words" to "soon", "fraction" to "1.5", "large" to "99999999999999999999", "empty" to "")

private val VERSION = StoreVersion(StoreEra(1), number = 1)

private fun rowsOf(texts: Map<String, String?>) = texts.map { (key, text) -> StoreRow(key, text, VERSION) }

/** Listeners of a table of members, whose decisions are recorded, at a moment that does not pass. */
private class RecordedListeners : AutoCloseable {
    private val recorded = RecordedDecisions()
    private val decisions = DecisionLog(LINES_PER_SECOND) { Instant.fromEpochSeconds(0) }
    private val own =
        EntryRecord(DaemonId("own"), DataCentre("x"), SocketAddress(HOST, 9), processorCores = 1.0)
    private val membership = EntryMembership(own)
    val entries = EntryListener(DaemonId("own"), membership, decisions) { }
    val leases = LeaseListener(membership, decisions)

    fun namesIn(kind: String): List<String?> = recorded.of(kind).map { it["entry"] }

    override fun close() = recorded.close()
}

class OddMembershipRowTest :
    DescribeSpec({
        describe("rows of members that cannot be read") {
            it("leave a line each when the table is read, and sound rows and removals leave none") {
                RecordedListeners().use {
                    it.entries.onTableRead(rowsOf(ODD_ROWS + ("sound" to SOUND_ROW)), TableReading())
                    it.namesIn("entry row unreadable") shouldBe ODD_ROWS.keys.toList()
                }
            }

            it("leave a line each when they change") {
                RecordedListeners().use {
                    it.entries.onRowsChanged(rowsOf(ODD_ROWS + ("sound" to SOUND_ROW) + ("removed" to null)))
                    it.namesIn("entry row unreadable") shouldBe ODD_ROWS.keys.toList()
                }
            }

            it("leave a line each when they are leases") {
                RecordedListeners().use {
                    it.leases.onTableRead(rowsOf(ODD_LEASES + ("sound" to "7") + ("removed" to null)), TableReading())
                    it.namesIn("lease unreadable") shouldBe ODD_LEASES.keys.toList()
                }
            }

            it("do not flood the log however many they are") {
                RecordedListeners().use {
                    val many = (1..500).associate { number -> "odd-$number" to "odd" }
                    it.entries.onTableRead(rowsOf(many), TableReading())
                    it.leases.onTableRead(rowsOf(many), TableReading())
                    it.namesIn("entry row unreadable").size shouldBeLessThanOrEqualTo LINES_PER_SECOND
                    it.namesIn("lease unreadable").size shouldBeLessThanOrEqualTo LINES_PER_SECOND
                }
            }

            it("leave lines in the log of an entry that reads them from the store, and the entry is ready") {
                val endpoint = ScriptedEndpoint { respond() }
                val pools = mapOf("p" to listOf(endpoint))
                RecordedDecisions().use { recorded ->
                    RowStoreServer().use { store ->
                        ODD_ROWS.forEach { (key, text) -> store.rows.put(RowKey(WireTables.ENTRIES, key), text) }
                        ODD_LEASES.forEach { (key, text) -> store.rows.put(RowKey(WireTables.LEASES, key), text) }
                        LoopbackDeployment(LoopbackDeployment.CONFIGURATION, pools, sharedStore = store).use {
                            eventually(10.seconds) {
                                recorded.of("entry row unreadable").map { line -> line["entry"] } shouldContainAll
                                    ODD_ROWS.keys
                                recorded.of("lease unreadable").map { line -> line["entry"] } shouldContainAll
                                    ODD_LEASES.keys
                            }
                            recorded.of("entry row unreadable").map { line -> line["entry"] } shouldNotContain "entry"
                            it.isReady() shouldBe true
                            it.failureCount shouldBe 0
                        }
                    }
                }
                endpoint.close()
            }
        }
    })
