package org.bilberryhead.core.serving

import org.bilberryhead.core.common.PoolName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * How many retries all entries together may send to a pool.
 *
 * @property ratio retries over the requests for the pool, in any [window]
 * @property slack further retries in any [window]
 */
data class RetryLimits(val ratio: Double, val slack: Double, val window: Duration = 10.seconds)

/**
 * This entry's share of the retries that all entries together may send to a pool. An entry counts its own requests and
 * takes its part of the slack, so that the sum stays within the [limits] whatever the others do.
 *
 * @property limits may change at any time; what was counted before goes on to count
 * @param entries how many entries share the slack, an upper bound
 */
class SharedRetryBudget(var limits: RetryLimits, private val entries: () -> Int) {
    private val requests = mutableMapOf<PoolName, ArrayDeque<Instant>>()
    private val retries = mutableMapOf<PoolName, ArrayDeque<Instant>>()

    /** Counts a request of a caller that leads to [pool]. */
    fun countRequest(pool: PoolName, now: Instant) {
        recent(requests, pool, now).addLast(now)
    }

    /** Takes one retry to [pool] out of the budget; returns whether there was one. */
    fun tryRetry(pool: PoolName, now: Instant): Boolean {
        val spent = recent(retries, pool, now)
        if (spent.size + 1 > limit(pool, now)) return false
        spent.addLast(now)
        return true
    }

    private fun limit(pool: PoolName, now: Instant): Double =
        limits.ratio * SAFE_PART * recent(requests, pool, now).size +
            limits.slack * SAFE_PART / entries().coerceAtLeast(1)

    private fun recent(
        counted: MutableMap<PoolName, ArrayDeque<Instant>>,
        pool: PoolName,
        now: Instant,
    ): ArrayDeque<Instant> {
        val times = counted.getOrPut(pool) { ArrayDeque() }
        while (times.isNotEmpty() && times.first() + limits.window <= now) times.removeFirst()
        return times
    }

    private companion object {
        /** Leaves room for retries that arrive later than they were counted. */
        const val SAFE_PART = 0.9
    }
}
