package org.bilberryhead.core.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A way to choose one endpoint of a pool. */
sealed class ChoicePolicy {
    /** Any endpoint, with equal probability. */
    data object Random : ChoicePolicy()

    /** Each endpoint in turn (round robin). */
    data object RoundRobin : ChoicePolicy()

    /** The endpoint with the fewest attempts in flight from this process. */
    data object LeastInFlight : ChoicePolicy()

    /** Of two random endpoints the one with fewer attempts in flight from this process. */
    data object TwoChoices : ChoicePolicy()

    /**
     * The endpoint with the shortest predicted time to a response, out of a random sample.
     *
     * @property sampleSize number of endpoints that are compared
     * @property waitWeight weight of a second of waiting relative to a second of service on routes with the objective
     *   attainment; more than 1, because work that waits also delays the work behind it
     * @property waitHeadroom share of the remaining time that a request may be predicted to use on an endpoint that is
     *   not the fastest, on routes with the objective attainment
     * @property refuseAt share of the remaining time above which the predicted time leads to a refusal
     * @property costWaitWeight weight of a second of waiting relative to a second of service on routes with the
     *   objective cost
     * @property costWeight weight of a second of endpoint time relative to a second of latency on routes with the
     *   objective cost
     * @property costHeadroom share of the remaining time that a request may be predicted to use on routes with the
     *   objective cost
     * @property maximumPrefixSlowdown how many times longer than on the best endpoint a request may be predicted to
     *   take on the endpoint that has its prefix cached
     * @property slowStart time after which a new or reinstated endpoint gets its full share of the work
     * @property ejection when an endpoint that fails is ejected
     * @property remoteRoundTrip round-trip time to another data centre
     */
    data class PredictedCompletion(
        val sampleSize: Int = 8,
        val waitWeight: Double = 4.0,
        val waitHeadroom: Double = 0.5,
        val refuseAt: Double = 0.9,
        val costWeight: Double = 2.0,
        val costWaitWeight: Double = 2.0,
        val costHeadroom: Double = 0.25,
        val maximumPrefixSlowdown: Double = 1.5,
        val slowStart: Duration = 3.seconds,
        val ejection: EjectionLimits = EjectionLimits(),
        val remoteRoundTrip: Duration = 3.milliseconds,
    ) : ChoicePolicy()
}

/**
 * When an endpoint that fails is ejected. An ejected endpoint gets no work except probes.
 *
 * @property consecutiveFailures number of failures in a row after which the endpoint is ejected
 * @property baseEjectionTime time until the endpoint is probed; doubles with each failed probe
 * @property maximumEjectionTime upper bound of the time until a probe
 * @property maximumEjectedShare share of a pool that may be ejected at the same time
 */
data class EjectionLimits(
    val consecutiveFailures: Int = 3,
    val baseEjectionTime: Duration = 2.seconds,
    val maximumEjectionTime: Duration = 30.seconds,
    val maximumEjectedShare: Double = 0.34,
)
