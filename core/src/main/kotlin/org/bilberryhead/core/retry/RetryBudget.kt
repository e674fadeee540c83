package org.bilberryhead.core.retry

import java.util.concurrent.atomic.AtomicLong
import kotlin.math.min

/**
 * Limits retries and hedges together to a share of the first attempts. Safe for use by several threads.
 *
 * @param ratio extra attempts allowed for each first attempt
 * @param burst extra attempts that may be saved up
 * @param reserve extra attempts that hedges leave for retries
 */
class RetryBudget(private val ratio: Double = 0.09, private val burst: Int = 10, private val reserve: Int = 3) {
    private val credit = AtomicLong(burst * UNITS_PER_ATTEMPT)

    /** Counts a first attempt, which earns a part of an extra one. */
    fun recordFirstAttempt() {
        val earned = (ratio * UNITS_PER_ATTEMPT).toLong()
        credit.updateAndGet { min(it + earned, burst * UNITS_PER_ATTEMPT) }
    }

    /** Takes one retry from the budget and returns whether it was there. */
    fun tryTake(): Boolean = tryTakeAbove(0)

    /** Takes one hedge from the budget, unless that would use up what is left for retries. */
    fun tryTakeHedge(): Boolean = tryTakeAbove(reserve * UNITS_PER_ATTEMPT)

    private fun tryTakeAbove(kept: Long): Boolean {
        while (true) {
            val before = credit.get()
            if (before - kept < UNITS_PER_ATTEMPT) return false
            if (credit.compareAndSet(before, before - UNITS_PER_ATTEMPT)) return true
        }
    }

    private companion object {
        /** Credit is counted in thousandths of an attempt. */
        const val UNITS_PER_ATTEMPT = 1000L
    }
}
