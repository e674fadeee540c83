package org.bilberryhead.core.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Remembers which runs of endpoints have asked this entry for rest, and for how long. A resting endpoint gets nothing;
 * afterwards its load returns step by step within [RETURN_PERIOD], so that it does not ask for rest again at once.
 */
class EndpointRests {
    private val restEnds = mutableMapOf<EndpointRun, Instant>()

    /** Whether no rest is known; most of the time. */
    val isEmpty: Boolean get() = restEnds.isEmpty()

    /** Records that [run] has asked for [period] of rest at [now]. A shorter one does not end a longer one sooner. */
    fun record(run: EndpointRun, period: Duration, now: Instant) {
        restEnds.values.removeAll { it + RETURN_PERIOD <= now }
        restEnds.merge(run, now + period, ::maxOf)
    }

    /** Returns whether [run] rests. */
    fun isResting(run: EndpointRun, now: Instant): Boolean = restEnds[run]?.let { now < it } ?: false

    /** Returns the time until the first of [runs] is back when all of them rest; null otherwise and for no runs. */
    fun timeUntilFirstReturn(runs: List<EndpointRun>, now: Instant): Duration? =
        if (runs.all { isResting(it, now) }) runs.minOfOrNull { restEnds.getValue(it) - now } else null

    /**
     * Returns how many exchanges this entry may have in flight with [run]: none during its rest, then a number that
     * grows from one to twice its [slots], and any number after [RETURN_PERIOD].
     */
    fun maximumInFlight(run: EndpointRun, slots: Int, now: Instant): Int {
        val sinceReturn = now - (restEnds[run] ?: return Int.MAX_VALUE)
        return when {
            sinceReturn < Duration.ZERO -> 0
            sinceReturn >= RETURN_PERIOD -> Int.MAX_VALUE
            else -> 1 + (sinceReturn / RETURN_PERIOD * slots * 2).toInt()
        }
    }

    /** Number of runs that rest. */
    fun restingCount(now: Instant): Int = restEnds.values.count { now < it }

    companion object {
        /** Time in which the load of an endpoint returns after its rest. */
        val RETURN_PERIOD: Duration = 2.seconds
    }
}
