package org.bilberryhead.core.retry

import java.util.concurrent.atomic.AtomicLong
import kotlin.math.min

/**
 * Limits retries and hedges together to a share of the first attempts. Thread-safe.
 *
 * @param ratio extra attempts, which are retries and hedges, allowed per first attempt
 * @param burst maximum number of unused extra attempts that are kept for later
 * @param reserve extra attempts that hedges may not use and that stay available for retries
 */
class RetryBudget(private val ratio: Double = 0.09, private val burst: Int = 10, private val reserve: Int = 3) {
    private val credit = AtomicLong(burst * UNITS_PER_ATTEMPT)

    /** Counts a first attempt, which adds [ratio] extra attempts to the budget. */
    fun recordFirstAttempt() {
        val earned = (ratio * UNITS_PER_ATTEMPT).toLong()
        credit.updateAndGet { min(it + earned, burst * UNITS_PER_ATTEMPT) }
    }

    /** Acquires one retry from the budget and returns whether it was available. */
    fun tryTake(): Boolean = tryTakeAbove(0)

    /** Acquires one hedge from the budget and returns whether it was available without using the [reserve]. */
    fun tryTakeHedge(): Boolean = tryTakeAbove(reserve * UNITS_PER_ATTEMPT)

    private fun tryTakeAbove(reservedCredit: Long): Boolean {
        while (true) {
            val previous = credit.get()
            if (previous - reservedCredit < UNITS_PER_ATTEMPT) return false
            if (credit.compareAndSet(previous, previous - UNITS_PER_ATTEMPT)) return true
        }
    }

    private companion object {
        /** Credit is counted in thousandths of an attempt. */
        const val UNITS_PER_ATTEMPT = 1000L
    }
}
