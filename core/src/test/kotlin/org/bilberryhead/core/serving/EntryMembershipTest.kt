package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.SocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val start = Instant.fromEpochSeconds(1_000)

/** An entry that reads the leases of others from a store. Its steady clock and the time of day can be set. */
private class Observer(id: String) {
    val membership = EntryMembership(record(id))
    var now = start
    var wallTime = start

    val shareCount get() = membership.shareCount(now, wallTime)
    val memberNames get() = membership.members.map { it.id.value }

    /** Lets [duration] pass, in which the store answers every second and the others [renew] every minute. */
    fun observe(duration: Duration, renew: (minute: Long) -> Unit = {}) {
        val end = now + duration
        while (now < end) {
            pass(1.seconds)
            membership.recordAnswer(now)
            if ((now - start).inWholeSeconds % 60 == 0L) renew((now - start).inWholeMinutes)
            membership.expire()
        }
    }

    fun pass(duration: Duration) {
        now += duration
        wallTime += duration
    }

    fun renewOwn() = membership.recordOwnRenewal(now, wallTime)
}

private fun record(id: String, isLeaving: Boolean = false) =
    EntryRecord(DaemonId(id), DataCentre("x"), SocketAddress("10.0.0.1", 1), 1.0, incarnation = 1, isLeaving)

class EntryMembershipTest :
    DescribeSpec({
        fun observer(vararg others: String) = Observer("a").apply {
            membership.recordAnswer(now)
            membership.replaceEntries(others.map { record(it) })
            renewOwn()
        }

        describe("a fleet of 300 entries whose VMs are replaced for weeks") {
            it("is counted by those that live, and the rows of the others are removed by one entry") {
                val observer = Observer("entry-000")
                val living = ArrayDeque((1..299).map { "entry-%03d".format(it) })
                observer.membership.replaceEntries(living.map { record(it) })
                var next = 300
                val removed = mutableListOf<String>()
                // One VM is replaced every ten minutes.
                repeat(200) {
                    living.removeFirst()
                    living.addLast("entry-%03d".format(next++))
                    observer.membership.updateEntries(listOf(record(living.last())))
                    observer.observe(10.minutes) { minute ->
                        observer.membership.updateLeases(living.associate { DaemonId(it) to minute })
                    }
                    observer.renewOwn()
                    observer.membership.expire().forEach {
                        removed += it.value
                        observer.membership.updateEntries(emptyList(), removed = listOf(it))
                    }
                }
                observer.observe(11.minutes) { minute ->
                    observer.membership.updateLeases(living.associate { DaemonId(it) to minute })
                }
                observer.memberNames shouldContainExactlyInAnyOrder living + "entry-000"
                removed.none { it in living } shouldBe true
                observer.membership.expire().size + removed.size shouldBe 200
            }
        }

        describe("an entry that nobody renews") {
            it("is a member until its lease ends, and again once it renews") {
                val observer = observer("b", "c")
                observer.observe(9.minutes) { observer.membership.updateLeases(mapOf(DaemonId("c") to it)) }
                observer.memberNames shouldContainExactlyInAnyOrder listOf("a", "b", "c")
                observer.observe(2.minutes) { observer.membership.updateLeases(mapOf(DaemonId("c") to it)) }
                observer.memberNames shouldContainExactlyInAnyOrder listOf("a", "c")
                observer.membership.expire() shouldBe listOf(DaemonId("b"))
                observer.membership.updateLeases(mapOf(DaemonId("b") to 7))
                observer.memberNames shouldContainExactlyInAnyOrder listOf("a", "b", "c")
            }

            it("stays a member while the store does not answer, however long that takes") {
                val observer = observer("b")
                observer.pass(2.hours)
                observer.membership.recordAnswer(observer.now)
                observer.membership.expire().shouldBeEmpty()
                observer.memberNames shouldContainExactlyInAnyOrder listOf("a", "b")
            }

            it("has its row removed by the member with the first name only") {
                val observer = Observer("b")
                observer.membership.replaceEntries(listOf(record("a"), record("c")))
                observer.observe(11.minutes) { observer.membership.updateLeases(mapOf(DaemonId("a") to it)) }
                observer.memberNames shouldContainExactlyInAnyOrder listOf("a", "b")
                observer.membership.expire().shouldBeEmpty()
            }
        }

        describe("entries whose rows are missing from a store that has come back from a copy") {
            it("stay members until they had the time to register again, also through another reading") {
                val observer = observer("b", "c", "d")
                observer.membership.replaceEntries(listOf(record("d")), isRestored = true)
                observer.observe(110.seconds)
                observer.membership.replaceEntries(listOf(record("d")))
                observer.membership.updateEntries(listOf(record("b")))
                observer.memberNames shouldContainExactlyInAnyOrder listOf("a", "b", "c", "d")
                observer.observe(20.seconds)
                observer.memberNames shouldContainExactlyInAnyOrder listOf("a", "b", "d")
            }

            it("are removed at once by a reading of a store that lost nothing") {
                val observer = observer("b", "c")
                observer.membership.replaceEntries(listOf(record("b")))
                observer.memberNames shouldContainExactlyInAnyOrder listOf("a", "b")
            }
        }

        describe("leases in a store that has come back from a copy") {
            it("are not taken for renewals because they are older") {
                val observer = observer("b")
                observer.membership.updateLeases(mapOf(DaemonId("b") to 9))
                observer.observe(9.minutes)
                observer.membership.updateLeases(mapOf(DaemonId("b") to 7), isRestored = true)
                observer.observe(2.minutes)
                observer.memberNames shouldBe listOf("a")
            }
        }

        describe("an entry that is shutting down") {
            it("is not taken back by an earlier row of the same run") {
                val observer = observer("b")
                observer.membership.updateEntries(listOf(record("b", isLeaving = true)))
                observer.membership.replaceEntries(listOf(record("b")), isRestored = true)
                observer.observe(40.seconds)
                observer.shareCount shouldBe 1
            }

            it("is no longer a member after the time that a shutdown may take") {
                val observer = observer("b")
                observer.membership.updateEntries(listOf(record("b", isLeaving = true)))
                observer.observe(20.seconds)
                observer.shareCount shouldBe 2
                observer.observe(20.seconds)
                observer.shareCount shouldBe 1
            }
        }

        describe("the share of this entry") {
            it("is the smallest until the rows are read and its own lease is held") {
                val observer = Observer("a")
                observer.shareCount.shouldBeNull()
                observer.membership.replaceEntries(listOf(record("b")))
                observer.shareCount.shouldBeNull()
                observer.renewOwn()
                observer.shareCount shouldBe 2
            }

            it("is taken from the number that a peer knows while the store cannot be read") {
                val observer = Observer("a")
                observer.membership.recordPeerCount(32)
                observer.shareCount shouldBe 33
            }

            it("is not taken from a number that no peer can know") {
                val observer = Observer("a")
                for (count in listOf(-1, 0, Int.MAX_VALUE, Int.MIN_VALUE)) {
                    observer.membership.recordPeerCount(count)
                    observer.shareCount.shouldBeNull()
                }
            }

            it("is the smallest once the others may have ended its lease, until that is renewed") {
                val observer = observer("b")
                observer.pass(9.minutes + 1.seconds)
                observer.shareCount.shouldBeNull()
                observer.renewOwn()
                observer.shareCount shouldBe 2
            }

            it("is the smallest after its VM was suspended, during which its clock stood still") {
                val observer = observer("b")
                observer.wallTime += 1.hours
                observer.shareCount.shouldBeNull()
                observer.renewOwn()
                observer.shareCount shouldBe 2
            }

            it("does not change when the time of day is set by seconds") {
                val observer = observer("b")
                observer.wallTime += 8.seconds
                observer.shareCount shouldBe 2
                observer.wallTime -= 16.seconds
                observer.shareCount shouldBe 2
            }
        }
    })
