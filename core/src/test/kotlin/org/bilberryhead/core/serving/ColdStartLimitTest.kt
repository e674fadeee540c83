package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.EndpointId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private const val PER_SECOND = 11.0

/** `cold_per_s` x `cold_overage` + `cold_slack` of the deployment. */
private const val BOUND = 21.5
private val START = Instant.fromEpochSeconds(1_000)
private val RUN = EndpointRun(EndpointId("p-0"), startedAt = 1)

private fun ids(count: Int) = List(count) { DaemonId("entry-$it") }

/** Entries that learn of changes of the membership after different times, and send to a cold run whenever they may. */
private class ColdDeployment(count: Int, private val random: Random) {
    private class Entry(val limit: ColdStartLimit, var isAlive: Boolean = true)

    private class Change(val at: Instant, val apply: () -> Unit)

    private val views = ids(count).associateWith { ids(count).toSet() }.toMutableMap<DaemonId, Set<DaemonId>?>()
    private val viewedAt = mutableMapOf<DaemonId, Instant>()
    private val entries = ids(count).associateWith { newEntry(it) }.toMutableMap()
    private var changes = listOf<Change>()
    private var members = ids(count).toSet()
    private var nextId = count
    var now = START
        private set
    val sent = mutableListOf<Instant>()

    private fun newEntry(id: DaemonId): Entry {
        val limit = ColdStartLimit(id) { views[id] }
        limit.recordRow(RUN, 1.hours, START)
        return Entry(limit)
    }

    /** Kills some entries; they stay members until [expire]. */
    fun kill(count: Int) = entries.values.shuffled(random).take(count).forEach { it.isAlive = false }

    /** Starts [count] entries, one shortly after the other. */
    fun start(count: Int) = repeat(count) {
        val id = DaemonId("entry-${nextId++}")
        members = members + id
        entries[id] = newEntry(id)
        announce()
        now += 1.milliseconds
    }

    /** Some entries lose the store and do not know the members until the next change. */
    fun disconnect(count: Int) = entries.keys.shuffled(random).take(count).forEach { views[it] = null }

    /** Removes a member that is dead, if there is one. */
    fun expire() {
        val dead = entries.filterValues { !it.isAlive }.keys.firstOrNull() ?: return
        entries -= dead
        members = members - dead
        announce()
    }

    /** Tells each entry the current members after a random time of up to 2 s. */
    private fun announce() = entries.keys.forEach { id ->
        val known = members
        val changedAt = now
        changes = changes + Change(now + random.nextInt(2_000).milliseconds) {
            // Rows arrive in order: an entry does not learn an older state after a newer one.
            if (viewedAt[id]?.let { it > changedAt } != true) {
                views[id] = known
                viewedAt[id] = changedAt
            }
        }
    }

    /** Lets the entries that are alive send whenever they may, for [period]. */
    fun run(period: Duration) {
        val end = now + period
        while (now < end) {
            now += 20.milliseconds
            val (due, later) = changes.partition { it.at <= now }
            changes = later
            due.forEach { it.apply() }
            entries.values.filter { it.isAlive }.shuffled(random).forEach(::send)
        }
    }

    private fun send(entry: Entry) {
        entry.limit.update(now)
        while (entry.limit.maySend(RUN, PER_SECOND, now)) {
            entry.limit.recordSent(RUN, now)
            sent += now
        }
    }

    /** The most requests that arrived in any second. */
    fun peak(): Int = sent.maxOf { first -> sent.count { it >= first && it < first + 1.seconds } }
}

private fun limit(members: List<DaemonId>?, own: DaemonId = DaemonId("entry-0")): ColdStartLimit {
    val limit = ColdStartLimit(own) { members }
    limit.update(START)
    limit.recordRow(RUN, 1.hours, START)
    return limit
}

private fun ColdStartLimit.sendAll(now: Instant, run: EndpointRun = RUN): Int =
    generateSequence { maySend(run, PER_SECOND, now).also { if (it) recordSent(run, now) } }.takeWhile { it }.count()

private val WARM_RUN = EndpointRun(EndpointId("warm"), startedAt = 1)

class ColdStartLimitTest :
    DescribeSpec({
        val settled = START + ColdStartLimit.SETTLING_TIME

        describe("all entries together") {
            it("stay within the bound in any second while entries die, start, disagree and lose the store") {
                checkAll(PropTestConfig(seed = 1, iterations = 60), Arb.int(1..48), Arb.int()) { count, seed ->
                    val random = Random(seed)
                    val deployment = ColdDeployment(count, random)
                    deployment.run(4.seconds)
                    repeat(6) {
                        when (random.nextInt(4)) {
                            0 -> deployment.kill(random.nextInt(1, 3))
                            1 -> deployment.start(random.nextInt(1, 12))
                            2 -> deployment.expire()
                            else -> deployment.disconnect(random.nextInt(1, 4))
                        }
                        deployment.run(random.nextInt(4_000).milliseconds)
                    }
                    deployment.peak().toDouble() shouldBeLessThanOrEqualTo BOUND
                }
            }

            it("stay within the bound when they start together and see each other one after the other") {
                checkAll(PropTestConfig(seed = 2, iterations = 20), Arb.int()) { seed ->
                    val deployment = ColdDeployment(count = 1, Random(seed))
                    deployment.start(27)
                    deployment.run(8.seconds)
                    deployment.peak().toDouble() shouldBeLessThanOrEqualTo BOUND
                }
            }

            it("count what was sent to a run in the second before it became cold") {
                val limit = limit(ids(1), ids(1).single())
                repeat(11) { limit.recordSent(WARM_RUN, settled) }
                limit.recordRow(WARM_RUN, 3.seconds, settled + 500.milliseconds)
                limit.maySend(WARM_RUN, PER_SECOND, settled + 900.milliseconds) shouldBe false
                limit.maySend(WARM_RUN, PER_SECOND, settled + 1.seconds) shouldBe true
            }

            it("use all of what is tolerated when they agree, so that cold endpoints are not idle") {
                for (count in listOf(1, 2, 11, 12, 28)) {
                    val sent = ids(count).sumOf { limit(ids(count), it).sendAll(settled) }
                    sent shouldBeGreaterThanOrEqualTo 10
                    sent shouldBeLessThanOrEqualTo 11
                }
            }

            it("do not leave the cold runs of all endpoints to the same entries") {
                val runs = List(100) { EndpointRun(EndpointId("p-$it"), startedAt = 1) }
                val counts = ids(28).map { id ->
                    val limit = limit(ids(28), id)
                    runs.sumOf { run -> limit.recordRow(run, 1.hours, START).let { limit.sendAll(settled, run) } }
                }
                counts.min() shouldBeGreaterThanOrEqualTo 20
                counts.max() shouldBeLessThanOrEqualTo 60
            }
        }

        describe("one entry") {
            it("sends nothing to a cold run while it does not know the members, or has just learnt them") {
                limit(members = null).sendAll(settled) shouldBe 0
                limit(ids(1)).sendAll(settled - 1.milliseconds) shouldBe 0
            }

            it("has a new permit a second after it used one, and not before") {
                val limit = limit(ids(10))
                limit.sendAll(settled) shouldBe 1
                limit.sendAll(settled + 999.milliseconds) shouldBe 0
                limit.sendAll(settled + 1.seconds) shouldBe 1
            }

            it("counts what it sent before it was suspended, and gets no permits for the time of the suspension") {
                val limit = limit(ids(5))
                limit.sendAll(settled) shouldBe 2
                limit.sendAll(settled + 900.milliseconds) shouldBe 0
                limit.sendAll(settled + 10.seconds) shouldBe 2
            }

            it("does not forget what it sent when the run becomes cold again within a second") {
                val limit = limit(ids(5))
                limit.sendAll(settled) shouldBe 2
                limit.recordRow(RUN, Duration.ZERO, settled + 100.milliseconds)
                limit.recordRow(RUN, 3.seconds, settled + 200.milliseconds)
                limit.sendAll(settled + 300.milliseconds) shouldBe 0
            }
        }

        describe("a run") {
            it("is cold as long as its row says, and not after a row that says that it is warm") {
                val limit = ColdStartLimit(DaemonId("entry-0")) { null }
                limit.recordRow(RUN, 2.seconds, START)
                limit.isCold(RUN, START + 1_999.milliseconds) shouldBe true
                limit.isCold(RUN, START + 2.seconds) shouldBe false
                limit.recordRow(RUN, 2.seconds, START + 3.seconds)
                limit.recordRow(RUN, Duration.ZERO, START + 4.seconds)
                limit.maySend(RUN, PER_SECOND, START + 4.seconds) shouldBe true
            }

            it("stays cold after an evacuation although a late row says that it is warm") {
                val limit = ColdStartLimit(DaemonId("entry-0")) { null }
                limit.recordReturn(RUN, 3.seconds, START)
                limit.recordRow(RUN, Duration.ZERO, START + 1.seconds)
                limit.isCold(RUN, START + 2.seconds) shouldBe true
            }

            it("is forgotten when it is warm, so that restarts do not fill the memory of an entry") {
                val limit = ColdStartLimit(DaemonId("entry-0")) { null }
                limit.recordRow(RUN, 2.seconds, START)
                limit.recordRow(RUN.copy(startedAt = 2), Duration.ZERO, START + 2.seconds)
                limit.isEmpty shouldBe true
            }
        }
    })
