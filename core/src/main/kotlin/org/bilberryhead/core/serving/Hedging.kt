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
 * Each request that may be hedged earns [ratio] of a hedge, and each hedge uses one up. So all entries together stay
 * within the ratio without communication, and an entry that gets only a few requests a minute can send a hedge, too.
 *
 * @param ratio largest ratio of hedges to requests that may be hedged; 0 switches hedging off
 */
class Hedging(ratio: Double) {
    private val earnedHedges = mutableMapOf<PoolName, Double>()
    private val responseTimes = mutableMapOf<PoolName, ResponseTimeWindow>()

    /** The largest ratio of hedges to requests; it may change at any time. */
    var ratio: Double = ratio
        set(value) {
            if (value == field) return
            field = value
            // They were earned at another ratio.
            earnedHedges.clear()
            if (!isEnabled) responseTimes.clear()
        }

    /** Whether requests are hedged at all; nothing is recorded otherwise. */
    val isEnabled: Boolean get() = ratio > 0

    /** Counts a request for [pool] that may be hedged. */
    fun countRequest(pool: PoolName) {
        if (isEnabled) earnedHedges[pool] = (earned(pool) + ratio).coerceAtMost(MAXIMUM_EARNED_HEDGES)
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
            earned(pool) < 1 -> HedgeObstacle.LIMIT
            else -> null
        }
    }

    /** Takes a hedge to [pool] from the limit, and returns whether one was left. */
    fun take(pool: PoolName): Boolean {
        val earned = earned(pool)
        if (!isEnabled || earned < 1) return false
        earnedHedges[pool] = earned - 1
        return true
    }

    private fun earned(pool: PoolName): Double = earnedHedges[pool] ?: 0.0

    companion object {
        /** Limits the hedges to about 5 % of the requests (Dean and Barroso, The Tail at Scale, 2013). */
        private const val DELAY_PERCENTILE = 95.0
        private const val MEDIAN = 50.0

        /** Bounds the hedges that an entry sends at once after a long time without any. */
        private const val MAXIMUM_EARNED_HEDGES = 3.0

        /** A slowdown often affects several endpoints of a data centre, so another one may cost this much more. */
        private const val CLOSE_COST_FACTOR = 1.25

        /** Returns whether an endpoint with [cost] in another data centre is preferred to the best, with [bestCost]. */
        fun isClose(cost: Duration, bestCost: Duration): Boolean = cost <= bestCost * CLOSE_COST_FACTOR
    }
}
