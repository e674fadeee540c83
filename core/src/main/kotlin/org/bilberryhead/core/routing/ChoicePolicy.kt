package org.bilberryhead.core.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A way to choose one endpoint of a pool. */
sealed class ChoicePolicy {
    /** Any endpoint, with equal probability. */
    data object Random : ChoicePolicy()

    /** The endpoints in turn. */
    data object RoundRobin : ChoicePolicy()

    /** The endpoint with the fewest attempts in flight from this process. */
    data object LeastInFlight : ChoicePolicy()

    /** Of two random endpoints the one with fewer attempts in flight from this process. */
    data object TwoChoices : ChoicePolicy()

    /**
     * Of a few random endpoints the one that is predicted to answer first.
     *
     * @property sampleSize number of endpoints that are compared
     * @property waitWeight what a second of waiting counts against a second of service on a route by attainment; more
     *   than 1, because work that waits also delays the work behind it
     * @property refuseAt part of the remaining time; a longer prediction refuses the work
     * @property costWeight what a second of endpoint time counts against a second of latency on a route by cost
     * @property costHeadroom part of the remaining time that a route by cost may be predicted to use
     * @property prefixStretch how much longer than on the best endpoint a request may take where its prefix is cached
     * @property slowStart when a new endpoint or one that has come back gets its full part of the work
     * @property ejection when an endpoint that fails gets no work
     * @property roundTripAway round trip to another data centre
     */
    data class PredictedCompletion(
        val sampleSize: Int = 8,
        val waitWeight: Double = 4.0,
        val refuseAt: Double = 0.9,
        val costWeight: Double = 2.0,
        val costHeadroom: Double = 0.25,
        val prefixStretch: Double = 1.5,
        val slowStart: Duration = 3.seconds,
        val ejection: EjectionLimits = EjectionLimits(),
        val roundTripAway: Duration = 3.milliseconds,
    ) : ChoicePolicy()
}

/**
 * When an endpoint that fails gets no work.
 *
 * @property failures failures without an answer between them after which the endpoint is ejected
 * @property firstPause time until the endpoint is probed; doubles with each probe that fails
 * @property longestPause upper limit of the pause
 * @property largestShare part of a pool that may be ejected at the same time
 */
data class EjectionLimits(
    val failures: Int = 3,
    val firstPause: Duration = 1.seconds,
    val longestPause: Duration = 30.seconds,
    val largestShare: Double = 0.34,
)
