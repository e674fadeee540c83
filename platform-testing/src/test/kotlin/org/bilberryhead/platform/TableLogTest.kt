package org.bilberryhead.platform

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.Snapshot
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.core.testing.testPool
import org.bilberryhead.core.testing.testTables
import org.bilberryhead.platform.testing.FakeObjectStore
import org.bilberryhead.platform.testing.FakeTableService
import org.bilberryhead.platform.testing.StoreCall
import org.bilberryhead.platform.testing.StoreFault

private fun change(id: String, base: Long = 0, pool: String = id) = TableChange(
    id = ChangeId(id),
    baseVersion = TableVersion(base),
    author = "operator",
    madeAt = TestClock.START,
    putPools = listOf(testPool(pool)),
)

private fun <T> Result<T, StoreError>.orFail(): T = getOrThrow { AssertionError(it.detail) }

class TableLogTest :
    DescribeSpec({
        describe("a change whose commit response is lost") {
            it("counts as committed when the transaction took effect") {
                val store = FakeTableService()
                store.planFaults(StoreCall.COMMIT, StoreFault.LOST_ANSWER)

                TableLog(store).commit(change("a")) shouldBe ChangeOutcome.Committed(change("a"))
            }
            it("is sealed when the transaction took no effect, so that a delayed copy cannot commit") {
                val store = FakeTableService()
                store.planFaults(StoreCall.COMMIT, StoreFault.LOST_CALL)

                TableLog(store).commit(change("a")).shouldBeInstanceOf<ChangeOutcome.NotCommitted>()

                TableLog(store).commit(change("a")).shouldBeInstanceOf<ChangeOutcome.NotCommitted>()
                TableLog(store).head().orFail() shouldBe TableVersion.NONE
            }
            it("stays unknown while the store is down, also when a repeated call is refused") {
                val store = FakeTableService()
                val log = TableLog(store)
                store.planFaults(StoreCall.COMMIT, StoreFault.LOST_CALL)
                store.planFaults(StoreCall.READ, StoreFault.NONE, StoreFault.NONE, StoreFault.DOWN, StoreFault.DOWN)

                log.commit(change("a")).shouldBeInstanceOf<ChangeOutcome.Unknown>()
                log.commit(change("a")).shouldBeInstanceOf<ChangeOutcome.Unknown>()
                log.commit(change("a")) shouldBe ChangeOutcome.Committed(change("a"))
            }
        }
        describe("a change that may have been proposed on another entry before") {
            it("has an unknown outcome while the store refuses calls, unless this is its first proposal") {
                val store = FakeTableService()
                store.planFaults(StoreCall.COMMIT, StoreFault.LATE_EFFECT)
                store.planFaults(StoreCall.READ, StoreFault.NONE, StoreFault.NONE, StoreFault.DOWN)
                TableLog(store).commit(change("a"), isFirst = true).shouldBeInstanceOf<ChangeOutcome.Unknown>()

                store.defaultFault = StoreFault.DOWN
                TableLog(store).commit(change("a")).shouldBeInstanceOf<ChangeOutcome.Unknown>()
                TableLog(store).commit(change("b"), isFirst = true).shouldBeInstanceOf<ChangeOutcome.NotCommitted>()

                store.defaultFault = StoreFault.NONE
                store.applyLateEffects()
                TableLog(store).commit(change("a")) shouldBe ChangeOutcome.Committed(change("a"))
            }
            it("never takes effect when it was sealed before its delayed transaction arrives") {
                val store = FakeTableService()
                store.planFaults(StoreCall.COMMIT, StoreFault.LATE_EFFECT)

                TableLog(store).commit(change("a"), isFirst = true).shouldBeInstanceOf<ChangeOutcome.NotCommitted>()
                store.applyLateEffects()

                TableLog(store).head().orFail() shouldBe TableVersion.NONE
            }
        }
        describe("a change id that is in the log") {
            it("is accepted again without being written again") {
                val store = FakeTableService()
                val log = TableLog(store)
                log.commit(change("a"))
                log.commit(change("b", base = 1))

                log.commit(change("a")) shouldBe ChangeOutcome.Committed(change("a"))
                store.committed.size shouldBe 2
            }
            it("is not accepted for other rows") {
                val log = TableLog(FakeTableService())
                log.commit(change("a"))

                log.commit(change("a", pool = "other")) shouldBe ChangeOutcome.LostRace(change("a"))
            }
        }
        describe("two changes with the same base version") {
            it("reports the committed change to the one that lost the race") {
                val log = TableLog(FakeTableService())
                log.commit(change("a"))

                log.commit(change("b")) shouldBe ChangeOutcome.LostRace(change("a"))
            }
            it("commits only one when they race between read and commit") {
                val store = FakeTableService()
                val log = TableLog(store)
                store.beforeCall = { call ->
                    if (call == StoreCall.COMMIT) {
                        store.beforeCall = {}
                        log.commit(change("a"))
                    }
                }

                log.commit(change("b")) shouldBe ChangeOutcome.LostRace(change("a"))
            }
        }
        describe("reading the log") {
            it("returns the newest changes first") {
                val log = TableLog(FakeTableService())
                repeat(5) { log.commit(change("change-$it", base = it.toLong())) }

                log.newest(2).orFail().map { it.id.value } shouldContainExactly listOf("change-4", "change-3")
            }
            it("starts from the snapshot when many changes follow") {
                val log = TableLog(FakeTableService())
                repeat(5) { log.commit(change("change-$it", base = it.toLong())) }
                val snapshots = TableSnapshots(FakeObjectStore())
                snapshots.write(Snapshot(testTables(version = 3)))

                val page = TableLogReader(
                    log,
                    snapshots,
                    minimumChangesForSnapshot = 4,
                ).read(TableVersion.NONE).orFail()

                page.snapshot?.tables?.version shouldBe TableVersion(3)
                page.changes.map { it.version.value } shouldContainExactly listOf(4, 5)
            }
            it("reads every change while the object store is down") {
                val log = TableLog(FakeTableService())
                repeat(5) { log.commit(change("change-$it", base = it.toLong())) }
                val objects = FakeObjectStore().apply { isDown = true }

                val page = TableLogReader(
                    log,
                    TableSnapshots(objects),
                    minimumChangesForSnapshot = 4,
                ).read(TableVersion.NONE)

                page.orFail().changes.size shouldBe 5
            }
        }
    })
