package org.bilberryhead.core.order

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Spreads the weight loads of all sidecars over time, because the weight store limits the rate of loads. Every sidecar
 * has an equal share of [loadsPerSecond] and so one slot in each interval of `sidecarCount / loadsPerSecond` seconds.
 * The position of the slot in the interval is random, so that sidecars that learn of a change at the same moment load
 * one after another.
 *
 * Not thread-safe.
 *
 * @param loadsPerSecond weight loads that all sidecars together may start per second
 */
class WeightLoadLimiter(private val loadsPerSecond: Double, private val random: Random) {
    private var reservedSlot: Instant? = null
    private var earliestNextLoad = Instant.DISTANT_PAST

    /**
     * Returns how long to wait at [now] before the next load, zero if it may start immediately. [sidecarCount] sidecars
     * share the rate.
     */
    fun delayBeforeLoad(now: Instant, sidecarCount: Int): Duration {
        val loadAt = reservedSlot?.takeIf { now < it + SLOT_VALIDITY } ?: reserveSlot(now, sidecarCount)
        return (loadAt - now).coerceAtLeast(ZERO)
    }

    /** Records that a load started at [now]. */
    fun recordLoadStarted(now: Instant, sidecarCount: Int) {
        reservedSlot = null
        earliestNextLoad = now + interval(sidecarCount)
    }

    /** Releases the reserved slot, so that a later load gets a new random one. */
    fun releaseSlot() {
        reservedSlot = null
    }

    private fun reserveSlot(now: Instant, sidecarCount: Int): Instant {
        val offset = interval(sidecarCount) * random.nextDouble()
        return maxOf(now + offset, earliestNextLoad).also { reservedSlot = it }
    }

    private fun interval(sidecarCount: Int): Duration = (sidecarCount.coerceAtLeast(1) / loadsPerSecond).seconds

    private companion object {
        /**
         * Time after which an unused slot expires. If slots stayed valid, all sidecars whose slots passed during an
         * outage would load at the same moment when it ends.
         */
        val SLOT_VALIDITY = 10.seconds
    }
}
