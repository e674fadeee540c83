package org.bilberryhead.forwarding.store

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.platform.wire.StoreEra
import org.bilberryhead.platform.wire.StoreRow
import org.bilberryhead.platform.wire.StoreVersion
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class EvacuationListenerTest :
    DescribeSpec({
        val start = Instant.fromEpochSeconds(1_000)
        val north = DataCentre("north")
        val south = DataCentre("south")

        class Fixture(var lastReadAt: Instant? = start) {
            var now = start
            val applied = mutableListOf<Set<DataCentre>>()
            val listener =
                EvacuationListener(DecisionLog(linesPerSecond = 10) { start }, { now }, { lastReadAt }, applied::add)
        }

        val version = StoreVersion(StoreEra(1), number = 1)

        fun row(dataCentre: DataCentre, value: String? = "{}") = StoreRow("evacuate/$dataCentre", value, version)

        describe("rows that evacuate data centres") {
            it("count whatever their value is, and other rows of the operator do not") {
                val fixture = Fixture()
                val configuration = StoreRow("config", "{}", version)
                fixture.listener.onTableRead(listOf(configuration, row(north, "not readable")), TableReading())
                fixture.applied shouldBe listOf(setOf(north))
            }

            it("end when they are removed") {
                val fixture = Fixture()
                fixture.listener.onRowsChanged(listOf(row(north), row(south)))
                fixture.listener.onRowsChanged(listOf(row(north, value = null)))
                fixture.applied shouldBe listOf(setOf(north, south), setOf(south))
            }

            it("end when a complete read lacks them, because their removal was missed in an outage") {
                val fixture = Fixture()
                fixture.listener.onRowsChanged(listOf(row(north)))
                fixture.listener.onTableRead(emptyList(), TableReading(afterOutage = true))
                fixture.listener.evacuated.shouldBeEmpty()
            }

            it("hold in the order in which they were written within one response") {
                val fixture = Fixture()
                fixture.listener.onRowsChanged(listOf(row(north), row(north, value = null), row(north)))
                fixture.listener.evacuated shouldBe setOf(north)
            }
        }

        describe("rows of a store that has come back from a copy") {
            val restored = TableReading(afterRestore = true)

            it("end no evacuation before the operator had the time to write its row again") {
                val fixture = Fixture()
                fixture.listener.onRowsChanged(listOf(row(north)))
                fixture.listener.onTableRead(emptyList(), restored)
                fixture.now = start + 1.seconds
                fixture.listener.endMissing()
                fixture.listener.onTableRead(emptyList(), TableReading(afterOutage = true))
                fixture.listener.evacuated shouldBe setOf(north)
                fixture.now = start + 2.seconds
                fixture.listener.endMissing()
                fixture.listener.evacuated.shouldBeEmpty()
            }

            it("hold when they are written again, or changed since") {
                val fixture = Fixture()
                fixture.listener.onRowsChanged(listOf(row(north), row(south)))
                fixture.listener.onTableRead(listOf(row(south)), restored)
                fixture.listener.onRowsChanged(listOf(row(north)))
                fixture.listener.onRowsChanged(listOf(row(south, value = null)))
                fixture.listener.evacuated shouldBe setOf(north)
                fixture.now = start + 2.seconds
                fixture.listener.endMissing()
                fixture.listener.evacuated shouldBe setOf(north)
            }
        }

        describe("a set that could not be applied") {
            it("is applied when it is read again") {
                var fails = true
                val applied = mutableListOf<Set<DataCentre>>()
                val listener = EvacuationListener(DecisionLog(linesPerSecond = 10) { start }, { start }, { start }) {
                    if (fails) throw OutOfMemoryError("test")
                    applied += it
                }
                shouldThrow<OutOfMemoryError> { listener.onTableRead(listOf(row(north)), TableReading()) }
                fails = false
                listener.onTableRead(listOf(row(north)), TableReading(afterOutage = true))
                applied shouldBe listOf(setOf(north))
            }
        }

        describe("what a peer knows") {
            it("replaces older knowledge of this entry") {
                val fixture = Fixture()
                fixture.listener.replaceFromPeer(setOf(north), asOf = start + 1.seconds)
                fixture.listener.evacuated shouldBe setOf(north)
                fixture.listener.knownAt shouldBe start + 1.seconds
            }

            it("does not replace newer knowledge, of the store or of another peer") {
                val fixture = Fixture()
                fixture.listener.replaceFromPeer(setOf(north), asOf = start - 1.seconds)
                fixture.listener.replaceFromPeer(setOf(south), asOf = start + 2.seconds)
                fixture.listener.replaceFromPeer(emptySet(), asOf = start + 1.seconds)
                fixture.listener.evacuated shouldBe setOf(south)
            }

            it("is taken by an entry that has not read the store yet") {
                val fixture = Fixture(lastReadAt = null)
                fixture.listener.replaceFromPeer(setOf(north), asOf = start - 10.seconds)
                fixture.listener.evacuated shouldBe setOf(north)
            }
        }
    })
