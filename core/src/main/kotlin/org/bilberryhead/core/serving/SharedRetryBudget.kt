package org.bilberryhead.core.serving

import org.bilberryhead.core.common.PoolName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * This entry's share of the retries that all entries together may send to a pool.
 *
 * Over any [window] the entries may send [ratio] times the requests for a pool and [slack] further ones. An entry
 * counts its own requests and takes its part of the slack, so that the sum stays within the bound whatever the others
 * do.
 *
 * @param entries how many entries share the slack, an upper bound
 */
class SharedRetryBudget(
    private val ratio: Double,
    private val slack: Double,
    private val window: Duration = 10.seconds,
    private val entries: () -> Int,
) {
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
        ratio * SAFE_PART * recent(requests, pool, now).size + slack * SAFE_PART / entries().coerceAtLeast(1)

    private fun recent(
        counted: MutableMap<PoolName, ArrayDeque<Instant>>,
        pool: PoolName,
        now: Instant,
    ): ArrayDeque<Instant> {
        val times = counted.getOrPut(pool) { ArrayDeque() }
        while (times.isNotEmpty() && times.first() + window <= now) times.removeFirst()
        return times
    }

    private companion object {
        /** Leaves room for retries that arrive later than they were counted. */
        const val SAFE_PART = 0.9
    }
}
