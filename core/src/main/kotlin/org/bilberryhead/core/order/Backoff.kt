package org.bilberryhead.core.order

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Delays between tries, which double from [first] up to [longest]; each is shortened by up to half at random.
 *
 * Not safe for use by several threads.
 */
internal class Backoff(private val first: Duration, private val longest: Duration, private val random: Random) {
    private var next = first

    /** Returns the delay before the next try. */
    fun nextDelay(): Duration {
        val delay = next
        next = minOf(next * 2, longest)
        return delay * random.nextDouble(SHORTEST_PART, 1.0)
    }

    /** Begins again with the first delay. */
    fun reset() {
        next = first
    }

    private companion object {
        const val SHORTEST_PART = 0.5
    }
}
