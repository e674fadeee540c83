package org.bilberryhead.core.serving

import org.bilberryhead.core.common.PoolName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Limits on the retries that all entries together may send to a pool within any period of length [window].
 *
 * @property ratio retries allowed per request for the pool
 * @property slack retries allowed in addition, independent of the requests
 */
data class RetryLimits(val ratio: Double, val slack: Double, val window: Duration = 10.seconds)

/**
 * This entry's share of the retries that all entries together may send to a pool. An entry counts only its own requests
 * and uses an equal share of the slack, so that the total stays within the [limits] without communication.
 *
 * @property limits may change at any time; requests and retries that were counted before keep counting
 * @param entries returns an upper bound of the number of entries that share the slack, or null for no share of it
 */
class SharedRetryBudget(var limits: RetryLimits, private val entries: () -> Int?) {
    private val requests = mutableMapOf<PoolName, ArrayDeque<Instant>>()
    private val retries = mutableMapOf<PoolName, ArrayDeque<Instant>>()

    /** Counts a request of a caller for [pool]. */
    fun countRequest(pool: PoolName, now: Instant) {
        recent(requests, pool, now).addLast(now)
    }

    /** Returns whether [tryRetry] would acquire [count] retries to [pool] now. */
    fun hasRetry(pool: PoolName, now: Instant, count: Int = 1): Boolean =
        recent(retries, pool, now).size + count <= limit(pool, now)

    /** Acquires [count] retries to [pool] from the budget, or none, and returns whether they were available. */
    fun tryRetry(pool: PoolName, now: Instant, count: Int = 1): Boolean {
        if (!hasRetry(pool, now, count)) return false
        val recentRetries = recent(retries, pool, now)
        repeat(count) { recentRetries.addLast(now) }
        return true
    }

    private fun limit(pool: PoolName, now: Instant): Double =
        limits.ratio * SAFETY_FACTOR * recent(requests, pool, now).size + slackShare()

    private fun slackShare(): Double = entries()?.let { limits.slack * SAFETY_FACTOR / it.coerceAtLeast(1) } ?: 0.0

    private fun recent(
        timesByPool: MutableMap<PoolName, ArrayDeque<Instant>>,
        pool: PoolName,
        now: Instant,
    ): ArrayDeque<Instant> {
        val times = timesByPool.getOrPut(pool) { ArrayDeque() }
        while (times.isNotEmpty() && times.first() + limits.window <= now) times.removeFirst()
        return times
    }

    private companion object {
        /** Below 1, because retries reach the pool later than they are counted here. */
        const val SAFETY_FACTOR = 0.9
    }
}
