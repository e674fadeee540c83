package org.bilberryhead.core.serving

import org.bilberryhead.core.common.PoolName
import kotlin.time.Duration
import kotlin.time.Instant

/** Why a request is not hedged. */
enum class HedgeObstacle {
    /** Too few response times of the pool are known. */
    FEW_SAMPLES,

    /** Part of the response has arrived. */
    RESPONSE_BEGUN,

    /** The entry drains. */
    DRAINING,

    /** Other requests of the pool wait for a connection. */
    REQUESTS_WAIT,

    /** A response is not likely in the remaining time. */
    SHORT_TIME,

    /** No endpoint that was not tried can take the request. */
    NO_ENDPOINT,

    /** A part of the prompt crashes endpoints. */
    QUARANTINED,

    /** The request has no attempt left, or the retry budget of the pool is used up. */
    NO_RETRY,

    /** The limit of hedges is reached. */
    LIMIT,
}

/**
 * What the decision on a hedge depends on, beside the limits.
 *
 * @property remaining time until the deadline of the request
 * @property hasResponseBegun whether part of a response has arrived
 * @property isDraining whether the entry drains
 * @property doRequestsWait whether requests of the pool wait for a connection
 * @property hasEndpoint whether an endpoint that was not tried can take the request now
 * @property isQuarantined whether a part of the prompt crashes endpoints
 * @property hasRetry whether the request has an attempt left and the retry budget has a retry
 */
data class HedgeSituation(
    val remaining: Duration,
    val hasResponseBegun: Boolean = false,
    val isDraining: Boolean = false,
    val doRequestsWait: Boolean = false,
    val hasEndpoint: Boolean = true,
    val isQuarantined: Boolean = false,
    val hasRetry: Boolean = true,
)

/**
 * Decides whether and when a second attempt of a request, a hedge, is sent while the first one is running.
 *
 * All entries together stay within the limit without communication, as for [SharedRetryBudget]: each counts its own
 * requests and hedges. There is no slack, so no entry needs to know the number of the others.
 *
 * @param limits [RetryLimits.ratio] is the largest ratio of hedges to requests; 0 switches hedging off
 */
class Hedging(limits: RetryLimits) {
    private val budget = SharedRetryBudget(limits.copy(slack = 0.0)) { null }
    private val responseTimes = mutableMapOf<PoolName, ResponseTimeWindow>()

    /** The limits; they may change at any time. */
    var limits: RetryLimits
        get() = budget.limits
        set(value) {
            budget.limits = value.copy(slack = 0.0)
            if (!isEnabled) responseTimes.clear()
        }

    /** Whether requests are hedged at all; nothing is recorded otherwise. */
    val isEnabled: Boolean get() = limits.ratio > 0

    /** Counts a request for [pool] that may be hedged. */
    fun countRequest(pool: PoolName, now: Instant) {
        if (isEnabled) budget.countRequest(pool, now)
    }

    /** Records the response time of an endpoint of [pool]. */
    fun recordResponseTime(pool: PoolName, time: Duration, now: Instant) {
        if (isEnabled) responseTimes.getOrPut(pool, ::ResponseTimeWindow).record(time, now)
    }

    /**
     * Records that an attempt at [pool] ended without a response after [elapsed]. It counts as a slow response if it
     * exceeds the delay. Leaving such attempts out would shorten the delay with each hedge.
     */
    fun recordUnanswered(pool: PoolName, elapsed: Duration, now: Instant) {
        val delay = delay(pool, now) ?: return
        if (elapsed >= delay) recordResponseTime(pool, elapsed, now)
    }

    /** Returns the time after which a request for [pool] is hedged; null while too few response times are known. */
    fun delay(pool: PoolName, now: Instant): Duration? = responseTimes[pool]?.percentile(DELAY_PERCENTILE, now)

    /** Returns why a request for [pool] is not hedged in [situation], or null; takes nothing from the limit. */
    fun obstacleTo(pool: PoolName, situation: HedgeSituation, now: Instant): HedgeObstacle? {
        val median = responseTimes[pool]?.percentile(MEDIAN, now) ?: return HedgeObstacle.FEW_SAMPLES
        return when {
            situation.hasResponseBegun -> HedgeObstacle.RESPONSE_BEGUN
            situation.isDraining -> HedgeObstacle.DRAINING
            situation.doRequestsWait -> HedgeObstacle.REQUESTS_WAIT
            situation.remaining < median -> HedgeObstacle.SHORT_TIME
            !situation.hasEndpoint -> HedgeObstacle.NO_ENDPOINT
            situation.isQuarantined -> HedgeObstacle.QUARANTINED
            !situation.hasRetry -> HedgeObstacle.NO_RETRY
            !budget.hasRetry(pool, now) -> HedgeObstacle.LIMIT
            else -> null
        }
    }

    /** Takes a hedge to [pool] from the limit, and returns whether one was left. */
    fun take(pool: PoolName, now: Instant): Boolean = isEnabled && budget.tryRetry(pool, now)

    companion object {
        private const val DELAY_PERCENTILE = 95.0
        private const val MEDIAN = 50.0

        /** A slowdown often affects several endpoints of a data centre, so another one may cost this much more. */
        private const val CLOSE_COST_FACTOR = 1.25

        /** Returns whether an endpoint with [cost] in another data centre is preferred to the best, with [bestCost]. */
        fun isClose(cost: Duration, bestCost: Duration): Boolean = cost <= bestCost * CLOSE_COST_FACTOR
    }
}
