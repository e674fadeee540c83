package org.bilberryhead.core.admission

import kotlin.math.max
import kotlin.math.min

/**
 * Adapts the number of attempts that an endpoint runs concurrently. The limit decreases while service times are far
 * above their recent best and increases when they recover. It stays between half and all of the configured concurrency.
 *
 * Not thread-safe.
 */
class ConcurrencyLimiter {
    private var bestMillis = 0.0
    private var share = 1.0
    private var samples = 0

    /** Records the smoothed service time after another attempt got a response, in milliseconds. */
    fun record(meanMillis: Double) {
        if (++samples < MINIMUM_SAMPLES) return
        bestMillis = if (bestMillis == 0.0) meanMillis else min(meanMillis, bestMillis * BEST_GROWTH)
        val isCongested = meanMillis > bestMillis * CONGESTION_RATIO
        share = if (isCongested) max(MINIMUM_SHARE, share * DECREASE) else min(1.0, share + INCREASE)
    }

    /** Returns the limit for a configured [concurrency]. */
    fun limit(concurrency: Int): Int = max(1, (concurrency * share + ROUNDING).toInt())

    private companion object {
        /** Number of samples from which the smoothed service time is meaningful. */
        const val MINIMUM_SAMPLES = 20

        /** Growth factor of the best service time per sample, so that a permanent change becomes the new best. */
        const val BEST_GROWTH = 1.005

        /** Ratio of the mean to the best service time above which the endpoint counts as congested. */
        const val CONGESTION_RATIO = 2.0
        const val MINIMUM_SHARE = 0.5
        const val DECREASE = 0.9
        const val INCREASE = 0.02
        const val ROUNDING = 0.5
    }
}
