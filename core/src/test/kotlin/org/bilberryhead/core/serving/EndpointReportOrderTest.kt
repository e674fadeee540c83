package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.shuffle
import io.kotest.property.checkAll
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val START = Instant.fromEpochSeconds(1_000)
private val ID = EndpointId("a")

/** The entries that the runs of an endpoint write, in this order; the last ones of a run may be draining. */
private val written = arbitrary {
    (1L..Arb.int(1, 3).bind()).flatMap { run ->
        val count = Arb.int(1, 6).bind()
        val drainsFrom = Arb.int(1, 8).bind()
        (1..count).map {
            endpointEntry("a", isDraining = it >= drainsFrom, startedAt = run, slots = it, sequence = it * 2L)
        }
    }
}

/** The same entries in any order, each once or more. */
private val delivered = arbitrary {
    val entries = written.bind()
    val repeated = Arb.list(Arb.element(entries), 0..6).bind()
    entries to Arb.shuffle(entries + repeated).bind()
}

private fun EndpointDirectory.usableIds() = usable(PoolName("p")).map { it.id.value }

private fun directoryOf(entry: EndpointEntry) = EndpointDirectory().apply { replaceAll(listOf(entry), START) }

class EndpointReportOrderTest :
    DescribeSpec({
        describe("the entries that an endpoint has written") {
            it("end in the same state in any order and repetition, from the store, a full read or a peer") {
                // Guards against a late heartbeat that makes a leaving endpoint usable again.
                checkAll(delivered, Arb.list(Arb.boolean(), 30..30)) { (entries, arrivals), areFullReads ->
                    val directory = EndpointDirectory()
                    arrivals.forEachIndexed { index, entry ->
                        val now = START + (index * 100).milliseconds
                        if (areFullReads[index % areFullReads.size]) {
                            directory.replaceAll(listOf(entry), now)
                        } else {
                            directory.update(listOf(entry), emptyList(), now)
                        }
                        directory.dropExpired(now)
                    }
                    directory.entry(ID) shouldBe entries.last()
                    directory.usableIds() shouldBe if (entries.last().isDraining) emptyList() else listOf("a")
                }
            }

            it("say that a run leaves for good, also when that is read after a later entry") {
                val directory = directoryOf(endpointEntry("a", sequence = 9))
                directory.update(listOf(endpointEntry("a", isDraining = true, sequence = 8)), emptyList(), START)
                    .shouldContainExactly(EndpointChange.Draining(ID))
                directory.usableIds().shouldBeEmpty()
            }

            it("count as they arrive when they have no order") {
                val directory = directoryOf(endpointEntry("a", isDraining = true))
                directory.update(listOf(endpointEntry("a", slots = 7)), emptyList(), START)
                directory.usableIds() shouldContainExactly listOf("a")
            }
        }

        describe("an entry of an earlier run") {
            it("counts when it is still listed after a while, as when the clock of the endpoint was set back") {
                val directory = directoryOf(endpointEntry("a", startedAt = 5, sequence = 9))
                val restarted = endpointEntry("a", startedAt = 4, sequence = 1)
                directory.update(listOf(restarted), emptyList(), START)
                directory.dropExpired(START + EndpointDirectory.HOLD_PERIOD - 1.seconds).shouldBeEmpty()
                directory.dropExpired(START + EndpointDirectory.HOLD_PERIOD)
                    .shouldContainExactly(EndpointChange.Appeared(restarted))
            }
        }

        describe("an entry of a run that was removed") {
            val last = endpointEntry("a", sequence = 9)

            fun afterRemoval() = directoryOf(last).apply { update(emptyList(), listOf(ID), START) }

            it("does not bring the endpoint back when a late heartbeat has written it") {
                val directory = afterRemoval()
                directory.update(listOf(last.copy(sequence = 8)), emptyList(), START + 1.seconds)
                directory.usableIds().shouldBeEmpty()
                directory.update(emptyList(), listOf(ID), START + 4.seconds)
                directory.dropExpired(START + 10.seconds).shouldBeEmpty()
            }

            it("does not bring the endpoint back when the store lists it after it came back from a copy") {
                val directory = afterRemoval()
                directory.recordStoreRestore(START + 1.seconds)
                directory.replaceAll(listOf(last), START + 1.seconds)
                directory.usableIds().shouldBeEmpty()
            }

            it("brings it back when it is listed for longer than the store lists silent endpoints") {
                val directory = afterRemoval()
                directory.recordStoreRestore(START + 1.seconds)
                directory.replaceAll(listOf(last), START + 1.seconds)
                directory.replaceAll(listOf(last), START + 3.seconds)
                directory.dropExpired(START + 1.seconds + EndpointDirectory.HOLD_PERIOD)
                directory.usableIds() shouldContainExactly listOf("a")
            }

            it("brings it back at once when it is a later one, or the store has lost nothing") {
                val later = afterRemoval()
                later.update(listOf(last.copy(sequence = 10)), emptyList(), START + 1.seconds)
                later.usableIds() shouldContainExactly listOf("a")
                val same = afterRemoval()
                same.replaceAll(listOf(last), START + 1.seconds)
                same.usableIds() shouldContainExactly listOf("a")
            }
        }
    })
