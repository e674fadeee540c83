package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Each order of an endpoint's own announcement that it leaves and of what the store or a peer lists. */
class LeavingEndpointTableTest :
    DescribeSpec({
        val start = Instant.fromEpochSeconds(1_000)
        val entry = endpointEntry("a")
        val other = endpointEntry("b")

        fun EndpointDirectory.usableIds(pool: String = "p") = usable(PoolName(pool)).map { it.id.value }

        fun directoryOf(vararg entries: EndpointEntry) =
            EndpointDirectory().apply { replaceAll(entries.toList(), start) }

        describe("an endpoint that has announced that it leaves") {
            it("gets nothing new before the list says so") {
                val directory = directoryOf(entry, other)
                directory.recordLeaving(entry.run).shouldContainExactly(EndpointChange.Draining(entry.id))
                directory.usableIds() shouldContainExactly listOf("b")
                directory.entry(entry.id)?.isDraining shouldBe true
            }

            it("is reported as draining once, whether it or the list says so first") {
                val directory = directoryOf(entry)
                directory.update(listOf(entry.copy(isDraining = true)), emptyList(), start)
                directory.recordLeaving(entry.run).shouldBeEmpty()
                directory.recordLeaving(entry.run).shouldBeEmpty()
                directory.usableIds().shouldBeEmpty()
            }

            it("leaves its pool without an endpoint when it is the only one") {
                val directory = directoryOf(entry)
                directory.recordLeaving(entry.run)
                directory.usableIds().shouldBeEmpty()
                directory.isEmpty shouldBe false
            }

            it("stays unused when the list goes on to say that it is ready") {
                val directory = directoryOf(entry)
                directory.recordLeaving(entry.run)
                directory.update(listOf(entry), emptyList(), start).shouldBeEmpty()
                directory.replaceAll(listOf(entry), start + 1.seconds).shouldBeEmpty()
                directory.usableIds().shouldBeEmpty()
            }

            it("stays unused when it announced it before the list has named it") {
                val directory = directoryOf(other)
                directory.recordLeaving(entry.run).shouldBeEmpty()
                directory.update(listOf(entry), emptyList(), start)
                directory.usableIds() shouldContainExactly listOf("b")
            }

            it("stays unused when it was removed and an older list of a peer names it again") {
                val directory = directoryOf(entry)
                directory.recordLeaving(entry.run)
                directory.update(emptyList(), listOf(entry.id), start)
                directory.replaceAll(listOf(entry, other), start + 1.seconds)
                directory.usableIds() shouldContainExactly listOf("b")
            }

            it("is dropped at once, and not used again, when its entry has lapsed in an outage of the store") {
                val directory = directoryOf(entry, other)
                directory.recordLeaving(entry.run)
                directory.recordStoreRecovery(start + 5.seconds)
                directory.replaceAll(listOf(other), start + 5.seconds)
                    .shouldContainExactly(EndpointChange.Gone(entry.id))
                directory.replaceAll(listOf(entry, other), start + 6.seconds)
                directory.usableIds() shouldContainExactly listOf("b")
            }

            it("gets nothing new when it announces it while its entry has lapsed, and is dropped in time") {
                val directory = directoryOf(entry)
                directory.recordStoreRecovery(start)
                directory.replaceAll(emptyList(), start).shouldContainExactly(EndpointChange.Lapsed(entry.id))
                directory.recordLeaving(entry.run)
                directory.usableIds().shouldBeEmpty()
                directory.dropExpired(start + 2.seconds).shouldContainExactly(EndpointChange.Gone(entry.id))
            }

            it("is used again after a restart under its id") {
                val directory = directoryOf(entry)
                directory.recordLeaving(entry.run)
                directory.update(listOf(entry.copy(startedAt = 2)), emptyList(), start)
                directory.usableIds() shouldContainExactly listOf("a")
            }

            it("keeps no endpoint with another id from being used at its address, also in another pool") {
                val directory = directoryOf(entry)
                directory.recordLeaving(entry.run)
                directory.update(listOf(other, endpointEntry("c").copy(pool = PoolName("q"))), emptyList(), start)
                directory.usableIds() shouldContainExactly listOf("b")
                directory.usableIds("q") shouldContainExactly listOf("c")
            }

            it("says nothing about a later run, when the announcement of an earlier one arrives late") {
                val directory = directoryOf(entry.copy(startedAt = 2))
                directory.recordLeaving(entry.run).shouldBeEmpty()
                directory.usableIds() shouldContainExactly listOf("a")
            }
        }

        describe("the endpoints at an address") {
            it("are told apart by their ids, also when another pool uses the address since") {
                val successor = endpointEntry("c").copy(pool = PoolName("q"))
                directoryOf(entry, successor).othersAtAddressOf(entry) shouldContainExactly listOf(successor.run)
            }
        }

        describe("the memory for runs that leave") {
            it("forgets the oldest run only, so that it stays bounded") {
                val runs = LeavingRuns(maximumRuns = 2)
                listOf(1L, 2L, 3L).forEach { runs.add(EndpointRun(EndpointId("a"), it)) }
                listOf(1L, 2L, 3L).map { EndpointRun(EndpointId("a"), it) in runs } shouldBe listOf(false, true, true)
            }
        }
    })
