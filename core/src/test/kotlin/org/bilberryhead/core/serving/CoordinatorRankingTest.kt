package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private fun entry(id: Int, processorCores: Double = 0.5) =
    EntryRecord(DaemonId("entry-$id"), DataCentre("x"), SocketAddress("10.0.0.$id", 80), processorCores)

class CoordinatorRankingTest :
    DescribeSpec({
        val entries = List(6) { entry(it) }

        describe("the order of the entries for a pool") {
            it("does not depend on the order in which the entries are given") {
                val pool = PoolName("p")
                CoordinatorRanking.order(pool, entries) shouldContainExactly
                    CoordinatorRanking.order(pool, entries.reversed())
            }

            it("spreads the pools over the entries") {
                val first = List(60) { CoordinatorRanking.order(PoolName("pool-$it"), entries).first().id }
                first.toSet().size shouldBeGreaterThan 4
            }

            it("keeps the order of the others when one entry is missing") {
                val pool = PoolName("p")
                val ranking = CoordinatorRanking.order(pool, entries)
                CoordinatorRanking.order(pool, entries - ranking.first()) shouldContainExactly ranking.drop(1)
            }

            it("puts entries with far fewer processor cores last") {
                val small = entry(9, processorCores = 0.2)
                List(20) { CoordinatorRanking.order(PoolName("pool-$it"), entries + small).last() }
                    .all { it == small } shouldBe true
            }
        }

        describe("an entry that is shutting down") {
            it("comes after all others, including those with few processor cores") {
                val small = entry(9, processorCores = 0.2)
                val pool = PoolName("p")
                val first = CoordinatorRanking.order(pool, entries).first()
                val leaving = first.copy(isLeaving = true)
                CoordinatorRanking.order(pool, entries - first + leaving + small).last() shouldBe leaving
            }
        }

        describe("a peer that cannot be reached") {
            val start = Instant.fromEpochSeconds(1_000)

            it("is avoided for longer after each failure, and used again after it has responded") {
                val peer = PeerReachability()
                peer.recordFailure(start)
                peer.isUsable(start + 900.milliseconds) shouldBe false
                peer.isUsable(start + 1.seconds) shouldBe true
                peer.recordFailure(start + 1.seconds)
                peer.isUsable(start + 2.seconds) shouldBe false
                peer.recordSuccess()
                peer.isUsable(start + 2.seconds) shouldBe true
            }
        }
    })
