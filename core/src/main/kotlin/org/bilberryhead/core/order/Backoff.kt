package org.bilberryhead.core.order

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Exponential backoff with jitter: the delay doubles from [initialDelay] up to [maximumDelay], and each delay returned
 * is a random part of it between one half and the whole.
 *
 * Not thread-safe.
 */
internal class Backoff(
    private val initialDelay: Duration,
    private val maximumDelay: Duration,
    private val random: Random,
) {
    private var upperBound = initialDelay

    /** Returns the delay before the next try. */
    fun nextDelay(): Duration {
        val longest = upperBound
        upperBound = minOf(upperBound * 2, maximumDelay)
        return longest * random.nextDouble(MINIMUM_JITTER_FACTOR, 1.0)
    }

    /** Starts again with the initial delay. */
    fun reset() {
        upperBound = initialDelay
    }

    private companion object {
        const val MINIMUM_JITTER_FACTOR = 0.5
    }
}
