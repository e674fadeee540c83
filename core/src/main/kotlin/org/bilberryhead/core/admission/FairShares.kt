package org.bilberryhead.core.admission

import org.bilberryhead.core.common.ClientAccount
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicLongArray
import java.util.concurrent.atomic.AtomicReference
import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Detects client accounts whose demand exceeds their max-min fair share of the capacity. Demand is counted in a
 * count-min sketch over two windows, so that the memory does not grow with the number of accounts.
 *
 * Thread-safe; updates take no locks.
 *
 * @param window length of one window
 * @param isUnservedCounted whether units that were not served are recorded as well; units that are neither served nor
 *   unserved are then known to be in progress and do not count as excess demand
 */
class FairShares(private val window: Duration = 2.seconds, private val isUnservedCounted: Boolean = false) {
    private val state = AtomicReference(Windows(Instant.DISTANT_PAST, Counts(), Counts(), Double.MAX_VALUE))

    /** Counts one unit of demand of [account]. */
    fun recordDemand(account: ClientAccount, now: Instant) = current(now).newest.add(account)

    /** Counts one unit that was served, of any account. */
    fun recordServed(now: Instant) {
        current(now).newest.served.incrementAndGet()
    }

    /** Counts one unit that was not served and will not be, of any account. */
    fun recordUnserved(now: Instant) {
        current(now).newest.unserved.incrementAndGet()
    }

    /** Whether the demand of [account] clearly exceeds its share. */
    fun isOverShare(account: ClientAccount, now: Instant): Boolean = demandRatio(account, now) > OVER_SHARE_RATIO

    /** Returns the ratio of the demand of [account] to its share. */
    fun demandRatio(account: ClientAccount, now: Instant): Double {
        val windows = current(now)
        val elapsed = ((now - windows.startedAt) / window).coerceIn(0.0, 1.0)
        val older = windows.older.demandOf(account)
        val newest = windows.newest.demandOf(account)
        val rate = max(older * (1 - elapsed) + newest, newest.toDouble())
        return rate / max(windows.fairShare, 1.0)
    }

    private fun current(now: Instant): Windows {
        while (true) {
            val windows = state.get()
            val age = now - windows.startedAt
            if (age < window) return windows
            val older = if (age < window * 2) windows.newest else Counts()
            val next = Windows(now, Counts(), older, older.fairShareWith(windows.older))
            if (state.compareAndSet(windows, next)) return next
        }
    }

    /** Demand per account, and numbers of served and unserved units, of one window. */
    private inner class Counts {
        val served = AtomicLong()
        val unserved = AtomicLong()
        private val cells = AtomicLongArray(ROWS * COLUMNS)

        fun add(account: ClientAccount) {
            for (row in 0 until ROWS) cells.incrementAndGet(cell(account, row))
        }

        fun demandOf(account: ClientAccount): Long {
            var least = Long.MAX_VALUE
            for (row in 0 until ROWS) least = min(least, cells.get(cell(account, row)))
            return least
        }

        /**
         * Returns the fair share for one window: the value at which the demands of this window and [previous], each
         * limited to it, add up to what was served.
         */
        fun fairShareWith(previous: Counts): Double {
            val demands = (0 until COLUMNS).map { cells.get(it) + previous.cells.get(it) }.filter { it > 0 }.sorted()
            val windows = if (previous.isEmpty()) 1 else 2
            if (isUnservedCounted && isAlmostServed(demands, previous, windows)) return highest(demands) / windows
            return fairShare(demands, (served.get() + previous.served.get()).toDouble()) / windows
        }

        private fun isAlmostServed(demands: List<Long>, previous: Counts, windows: Int): Boolean {
            val demand = demands.sum()
            val inProgress = demand - served.get() - previous.served.get()
            val areFewUnserved = unserved.get() + previous.unserved.get() <= demand * (1 - FULLY_SERVED_SHARE)
            return areFewUnserved && inProgress <= demand * MAXIMUM_IN_PROGRESS / windows
        }

        private fun isEmpty() = (0 until COLUMNS).all { cells.get(it) == 0L }

        private fun fairShare(demands: List<Long>, servedInTotal: Double): Double {
            var remaining = servedInTotal
            if (remaining >= demands.sum() * FULLY_SERVED_SHARE) return highest(demands)
            demands.forEachIndexed { index, demand ->
                val equalPart = remaining / (demands.size - index)
                if (demand > equalPart) return equalPart
                remaining -= demand
            }
            return highest(demands)
        }

        private fun highest(demands: List<Long>): Double = demands.lastOrNull()?.toDouble() ?: Double.MAX_VALUE

        private fun cell(account: ClientAccount, row: Int): Int {
            val mixed = account.value.hashCode() * MULTIPLIERS[row]
            return row * COLUMNS + (mixed ushr HASH_SHIFT)
        }
    }

    private inner class Windows(val startedAt: Instant, val newest: Counts, val older: Counts, val fairShare: Double)

    private companion object {
        const val ROWS = 2
        const val COLUMNS = 1024

        /** Number of hash bits that are dropped to get a column index. */
        const val HASH_SHIFT = 22

        /** Odd factors that give each row its own hash. */
        val MULTIPLIERS = intArrayOf(-1_640_531_527, -2_048_144_789)

        /** Ratio of demand to fair share above which an account counts as over its share. */
        const val OVER_SHARE_RATIO = 1.25

        /** Served share of the demand from which the demand counts as fully served. */
        const val FULLY_SERVED_SHARE = 0.98

        /** Share of the demand of one window that may be in progress. A larger share means that a queue is growing. */
        const val MAXIMUM_IN_PROGRESS = 0.5
    }
}
