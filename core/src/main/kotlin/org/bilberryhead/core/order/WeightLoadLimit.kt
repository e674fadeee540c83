package org.bilberryhead.core.order

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Spreads the weight loads of all sidecars, since the weight store limits their rate. Every sidecar has an equal share
 * of [loadsPerSecond], and so one slot in each interval of `sidecars / loadsPerSecond`. The place of the slot in the
 * interval is random: sidecars that learn of the same change at the same moment load one after another.
 *
 * Not safe for use by several threads.
 *
 * @param loadsPerSecond weight loads that all sidecars together may begin in a second
 */
class WeightLoadLimit(private val loadsPerSecond: Double, private val random: Random) {
    private var slot: Instant? = null
    private var earliest = Instant.DISTANT_PAST

    /** Returns how long to wait at [now] before a load, with [sidecars] that share the rate; zero when it may begin. */
    fun waitBeforeLoad(now: Instant, sidecars: Int): Duration {
        val reserved = slot?.takeIf { now < it + SLOT_LENGTH } ?: reserve(now, sidecars)
        return (reserved - now).coerceAtLeast(ZERO)
    }

    /** Records that a load began at [now]. */
    fun begun(now: Instant, sidecars: Int) {
        slot = null
        earliest = now + interval(sidecars)
    }

    /** Gives a reserved slot back, so that a later load is spread anew. */
    fun release() {
        slot = null
    }

    private fun reserve(now: Instant, sidecars: Int): Instant {
        val spread = interval(sidecars) * random.nextDouble()
        return maxOf(now + spread, earliest).also { slot = it }
    }

    private fun interval(sidecars: Int): Duration = (sidecars.coerceAtLeast(1) / loadsPerSecond).seconds

    private companion object {
        /** A slot that was not used for this long has passed; without this an outage would gather the loads. */
        val SLOT_LENGTH = 10.seconds
    }
}
