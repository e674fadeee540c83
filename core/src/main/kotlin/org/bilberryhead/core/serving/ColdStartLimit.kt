package org.bilberryhead.core.serving

import org.bilberryhead.core.common.DaemonId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * What the endpoints of a pool tolerate while they are cold.
 *
 * @property period how long an endpoint is cold after a start
 * @property requestsPerSecond requests per second that a cold endpoint tolerates from all entries together
 */
data class ColdStart(val period: Duration, val requestsPerSecond: Double)

/**
 * Decides which runs of endpoints are cold, and whether this entry may send to a cold run now.
 *
 * Designed for tens of entries that all send to the same endpoints and cannot count together. Each one has a fixed part
 * of what a cold endpoint tolerates: an equal part as long as it is at least one request per second, otherwise one
 * request per second for the members that rank first for the run. Members disagree for a moment when one joins or
 * leaves, so that the sum may exceed the rate until they agree again. An entry that does not know the members, or has
 * known them only for [SETTLING_TIME], sends nothing.
 *
 * @param own this entry
 * @param members returns the members, including this entry, or null when it does not know them
 */
class ColdStartLimit(private val own: DaemonId, private val members: () -> Collection<DaemonId>?) {
    private class ColdRun {
        /** Until when the run is cold according to its row. */
        var coldUntilByRow = Instant.DISTANT_PAST

        /** Until when the run is cold after an evacuation of its data centre, which its row may not say. */
        var coldUntilAfterEvacuation = Instant.DISTANT_PAST

        /** When requests were sent to the run in the last second. */
        val sentAt = ArrayDeque<Instant>()
        val coldUntil: Instant get() = maxOf(coldUntilByRow, coldUntilAfterEvacuation)
    }

    private val runs = mutableMapOf<EndpointRun, ColdRun>()
    private var membersKnownSince: Instant? = null

    /** Whether nothing was sent, and no run has been cold, lately; always so in pools without cold starts. */
    val isEmpty: Boolean get() = runs.isEmpty()

    /** Notes whether the members are known, and forgets what is out of date. To be called regularly. */
    fun update(now: Instant) {
        observeMembers(now)
        dropWarmRuns(now)
    }

    private fun observeMembers(now: Instant) {
        membersKnownSince = if (members() == null) null else membersKnownSince ?: now
    }

    /** Records that a new row of [run] says at [now] that it stays cold for [remaining]; zero when it is warm. */
    fun recordRow(run: EndpointRun, remaining: Duration, now: Instant) {
        dropWarmRuns(now)
        if (remaining > Duration.ZERO) {
            runs.getOrPut(run, ::ColdRun).coldUntilByRow = now + remaining
        } else {
            runs[run]?.coldUntilByRow = Instant.DISTANT_PAST
        }
    }

    /** Records that the evacuation of [run] was withdrawn at [now]; it counts as cold for [period]. */
    fun recordReturn(run: EndpointRun, period: Duration, now: Instant) {
        dropWarmRuns(now)
        if (period > Duration.ZERO) runs.getOrPut(run, ::ColdRun).coldUntilAfterEvacuation = now + period
    }

    /** Returns whether [run] is cold. */
    fun isCold(run: EndpointRun, now: Instant): Boolean = runs[run]?.let { now < it.coldUntil } ?: false

    /** Returns the runs that are cold. */
    fun coldRuns(now: Instant): List<EndpointRun> = runs.filterValues { now < it.coldUntil }.keys.toList()

    /** Returns whether this entry may send to [run], which tolerates [requestsPerSecond] while it is cold. */
    fun maySend(run: EndpointRun, requestsPerSecond: Double, now: Instant): Boolean {
        val cold = runs[run]?.takeIf { now < it.coldUntil } ?: return true
        dropOldSends(cold, now)
        return cold.sentAt.size < share(run, requestsPerSecond, now)
    }

    /** Counts a request that is sent to [run] now. Also one to a warm run, which may become cold within the second. */
    fun recordSent(run: EndpointRun, now: Instant) {
        val sentTo = runs.getOrPut(run, ::ColdRun)
        dropOldSends(sentTo, now)
        sentTo.sentAt.addLast(now)
    }

    /** Returns how many requests this entry may send to [run] in any second. */
    private fun share(run: EndpointRun, requestsPerSecond: Double, now: Instant): Int {
        observeMembers(now)
        val knownSince = membersKnownSince ?: return 0
        val current = members()?.takeIf { now - knownSince >= SETTLING_TIME } ?: return 0
        val permits = requestsPerSecond.toInt()
        return when {
            current.isEmpty() -> 0
            current.size <= permits -> permits / current.size
            else -> ownedPermits(run, current, permits)
        }
    }

    /** Returns 1 when this entry is among the first [permits] of [members] for [run], and 0 otherwise. */
    private fun ownedPermits(run: EndpointRun, members: Collection<DaemonId>, permits: Int): Int {
        val key = "${run.id}/${run.startedAt}"
        val ownWeight = rendezvousWeight(key, own.value)
        val ahead = members.count { member ->
            val weight = rendezvousWeight(key, member.value)
            weight > ownWeight || (weight == ownWeight && member < own)
        }
        return if (ahead < permits) 1 else 0
    }

    /**
     * Drops warm runs to which nothing was sent in the last second. Sends count for a second even when the run becomes
     * cold again in that second.
     */
    private fun dropWarmRuns(now: Instant) {
        if (runs.isEmpty()) return
        runs.values.forEach { dropOldSends(it, now) }
        runs.values.removeAll { it.coldUntil <= now && it.sentAt.isEmpty() }
    }

    private fun dropOldSends(cold: ColdRun, now: Instant) {
        while (cold.sentAt.isNotEmpty() && cold.sentAt.first() + WINDOW <= now) cold.sentAt.removeFirst()
    }

    companion object {
        private val WINDOW = 1.seconds

        /**
         * Entries that start together see each other's rows one after the other, and the first would take the parts of
         * the others. Rows arrive within 2.4 s even when a call to the store has to be made again.
         */
        val SETTLING_TIME: Duration = 3.seconds
    }
}
