package org.bilberryhead.core.propagation

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.Changes
import org.bilberryhead.core.message.FetchChanges
import org.bilberryhead.core.message.Snapshot
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables
import kotlin.random.Random
import kotlin.time.Instant

private const val HISTORY_LENGTH = 12

private fun pool(name: String, port: Int = 20_000) = Pool(
    PoolName(name),
    listOf(Endpoint(EndpointId("$name-0"), DataCentre("nashua"), SocketAddress("127.0.0.1", port))),
)

internal fun testChange(version: Long, id: String = "change-$version") = TableChange(
    id = ChangeId(id),
    baseVersion = TableVersion(version - 1),
    author = "operator",
    madeAt = Instant.fromEpochSeconds(1_800_000_000),
    putPools = listOf(pool("pool-${version % 5}", port = 20_000 + version.toInt())),
    deletePools = if (version % 4 == 0L) listOf(PoolName("pool-${(version + 1) % 5}")) else emptyList(),
)

private val history = (1L..HISTORY_LENGTH).map { testChange(it) }

private fun tablesAt(version: Int) = history.take(version).fold(Tables()) { tables, change -> change.applyTo(tables) }

class TableReplicaTest :
    DescribeSpec({
        describe("a replica") {
            it("reaches the same tables for any order and repetition of batches and snapshots") {
                checkAll(PropTestConfig(seed = 1), Arb.int()) { seed ->
                    val random = Random(seed)
                    val replica = TableReplica(HistoryLimits(changes = random.nextInt(1, HISTORY_LENGTH + 1)))
                    repeat(random.nextInt(30)) {
                        val from = random.nextInt(HISTORY_LENGTH)
                        val batch = history.subList(from, random.nextInt(from, HISTORY_LENGTH + 1)).shuffled(random)
                        val before = replica.version
                        if (random.nextInt(4) == 0) {
                            replica.merge(Snapshot(tablesAt(from), history.getOrNull(from - 1)?.id))
                        } else {
                            replica.merge(batch + batch.take(1))
                        }.conflicts.shouldBeEmpty()
                        (replica.version >= before) shouldBe true
                        replica.tables shouldBe tablesAt(replica.version.value.toInt())
                    }
                    replica.merge(history)
                    replica.tables shouldBe tablesAt(HISTORY_LENGTH)
                }
            }
            it("keeps the applied change when another change has the same version") {
                val replica = TableReplica()
                replica.merge(history.take(3))

                val result = replica.merge(listOf(testChange(3, id = "other")))

                result.conflicts shouldContainExactly
                    listOf(VersionConflict(TableVersion(3), ChangeId("change-3"), ChangeId("other")))
                replica.tables shouldBe tablesAt(3)
            }
            it("reports a conflict with a snapshot of the same version from another change") {
                val replica = TableReplica()
                replica.merge(history.take(3))

                replica.merge(Snapshot(tablesAt(3), ChangeId("other"))).conflicts.size shouldBe 1
            }
            it("responds with changes if its history reaches back far enough, and with a snapshot otherwise") {
                val replica = TableReplica(HistoryLimits(changes = 2))
                replica.merge(history)

                replica.responseTo(FetchChanges(TableVersion(HISTORY_LENGTH - 2L))) shouldBe
                    Changes(history.takeLast(2))
                replica.responseTo(FetchChanges(TableVersion(1))) shouldBe
                    Snapshot(tablesAt(HISTORY_LENGTH), history.last().id)
                replica.responseTo(FetchChanges(TableVersion(HISTORY_LENGTH.toLong()))) shouldBe null
            }
        }
    })
