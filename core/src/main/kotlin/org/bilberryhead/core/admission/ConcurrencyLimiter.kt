package org.bilberryhead.core.admission

import kotlin.math.max
import kotlin.math.min

/**
 * Adapts the number of attempts that an endpoint works on at once: fewer while service times are far above their
 * recent best, more again when they recover. Never above the configured concurrency, never below half of it.
 *
 * Not safe for use by several threads.
 */
class ConcurrencyLimiter {
    private var bestMillis = 0.0
    private var share = 1.0
    private var samples = 0

    /** Takes the smoothed service time after one more attempt was answered, in milliseconds. */
    fun record(meanMillis: Double) {
        if (++samples < FEWEST_SAMPLES) return
        bestMillis = if (bestMillis == 0.0) meanMillis else min(meanMillis, bestMillis * BEST_GROWTH)
        val isCongested = meanMillis > bestMillis * TOLERANCE
        share = if (isCongested) max(LOWEST_SHARE, share * DECREASE) else min(1.0, share + INCREASE)
    }

    /** Returns the limit under a configured [concurrency]. */
    fun limit(concurrency: Int): Int = max(1, (concurrency * share + ROUNDING).toInt())

    private companion object {
        /** Attempts after which the smoothed service time means something. */
        const val FEWEST_SAMPLES = 20

        /** Growth of the remembered best by each sample, so that a lasting change becomes the new best. */
        const val BEST_GROWTH = 1.005

        /** Ratio of the mean to the best from which the endpoint counts as congested. */
        const val TOLERANCE = 2.0
        const val LOWEST_SHARE = 0.5
        const val DECREASE = 0.9
        const val INCREASE = 0.02
        const val ROUNDING = 0.5
    }
}
