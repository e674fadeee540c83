package org.bilberryhead.core.order

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Exponential backoff with jitter: the delay doubles from [initialDelay] up to [maximumDelay], and each delay returned
 * is this value multiplied by a random factor from 0.5 to 1.
 *
 * Not thread-safe.
 */
internal class Backoff(
    private val initialDelay: Duration,
    private val maximumDelay: Duration,
    private val random: Random,
) {
    private var upperBound = initialDelay

    /** Returns the delay before the next retry. */
    fun nextDelay(): Duration {
        val currentBound = upperBound
        upperBound = minOf(upperBound * 2, maximumDelay)
        return currentBound * random.nextDouble(MINIMUM_JITTER_FACTOR, 1.0)
    }

    /** Resets the delay to [initialDelay], for use after a success. */
    fun reset() {
        upperBound = initialDelay
    }

    private companion object {
        const val MINIMUM_JITTER_FACTOR = 0.5
    }
}
