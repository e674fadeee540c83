package org.bilberryhead.core.serving

import kotlin.math.exp
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * The load that an endpoint reported with a response.
 *
 * @property workTimeFactor how much longer than usual work takes on the endpoint's machine; null when not reported
 */
data class LoadReport(val running: Int, val waiting: Int, val slots: Int, val workTimeFactor: Double? = null)

/** How an exchange with an endpoint ended, as far as it matters for choosing endpoints. */
enum class ExchangeResult {
    /** The endpoint sent a complete response that is not a failure. */
    SUCCEEDED,

    /** The endpoint stated that it did not run the request. */
    REFUSED,

    /** The endpoint sent a failure, an incomplete response or none. */
    FAILED,

    /** This side cancelled the exchange because another endpoint answered first; its time is a lower bound. */
    OVERTAKEN,

    /** This side cancelled the exchange, which does not count against the endpoint. */
    ABANDONED,
}

/**
 * Estimates the load, speed and failure rate of one endpoint. Load reports are corrected by the number of requests that
 * this entry has in flight itself, because reports are out of date when they are used.
 *
 * The reported work time factor counts only as far as it differs from its average over the learnt response times, so
 * that the same slowness does not count twice. A factor that is always the same, also a wrong one, has no effect once
 * response times are learnt.
 */
class EndpointLoad(private val slots: Int, private val expectedTime: Duration) {
    private var report: LoadReport? = null
    private var reportedAt: Instant? = null
    private var inFlightAtReport = 0
    private var responseTimeEstimate = expectedTime

    /** Average of the work time factor over the responses in [responseTimeEstimate]. */
    private var learntFactor = 1.0
    private var failureRate = 0.0
    private var failureRateUpdatedAt: Instant? = null
    private var pendingSince = ArrayDeque<Instant>()

    /** How much longer than usual work takes on the endpoint's machine. */
    val workTimeFactor = WorkTimeFactor()

    /** Requests that were sent to the endpoint and whose responses are not complete. */
    var inFlight = 0
        private set

    /** Counts a request that is sent now. */
    fun recordStart(now: Instant) {
        inFlight++
        pendingSince.addLast(now)
    }

    /** Counts the end of a request that was sent [elapsed] ago. */
    fun recordEnd(result: ExchangeResult, elapsed: Duration, now: Instant) {
        inFlight--
        pendingSince.remove(now - elapsed)
        when (result) {
            ExchangeResult.SUCCEEDED -> {
                recordResponseTime(elapsed, now)
                recordOutcome(failed = false, now)
            }

            ExchangeResult.REFUSED, ExchangeResult.FAILED -> recordOutcome(failed = true, now)
            // Otherwise an endpoint whose attempts always lose to hedges would never be known as slow.
            ExchangeResult.OVERTAKEN -> if (elapsed > responseTimeEstimate) recordResponseTime(elapsed, now)
            ExchangeResult.ABANDONED -> Unit
        }
    }

    /** Records a load report that came with a response. */
    fun recordReport(report: LoadReport, now: Instant) {
        this.report = report
        reportedAt = now
        inFlightAtReport = inFlight
        workTimeFactor.record(report, now)
    }

    /** Expected time until the response to a request that is sent now. Recent failures increase it. */
    fun expectedResponseTime(now: Instant): Duration {
        val occupied = inFlight + othersInFlight(now) + 1
        val rounds = max(1.0, occupied / slots.toDouble())
        return currentResponseTime(now) * rounds * (1 + FAILURE_PENALTY * currentFailureRate(now))
    }

    /** Share of recent exchanges that failed. It decays with time, so that a failed endpoint is tried again. */
    fun currentFailureRate(now: Instant): Double {
        val since = failureRateUpdatedAt ?: return 0.0
        return failureRate *
            exp(-(now - since).toDouble(DurationUnit.SECONDS) / FAILURE_DECAY_TIME.toDouble(DurationUnit.SECONDS))
    }

    /** Returns the estimated response time, raised when a request has been waiting for its response for a long time. */
    private fun currentResponseTime(now: Instant): Duration {
        val longestWait = pendingSince.firstOrNull()?.let { now - it } ?: Duration.ZERO
        val relativeFactor = workTimeFactor.current(now, usual = learntFactor) / learntFactor
        return maxOf(responseTimeEstimate * relativeFactor, longestWait / 2)
    }

    private fun othersInFlight(now: Instant): Int {
        val latest = report ?: return 0
        val age = now - (reportedAt ?: return 0)
        if (age > REPORT_VALIDITY) return 0
        return max(0, latest.running + latest.waiting - inFlightAtReport - 1)
    }

    private fun recordResponseTime(elapsed: Duration, now: Instant) {
        responseTimeEstimate = responseTimeEstimate * (1 - RESPONSE_TIME_WEIGHT) + elapsed * RESPONSE_TIME_WEIGHT
        learntFactor = learntFactor * (1 - RESPONSE_TIME_WEIGHT) +
            workTimeFactor.current(now, usual = learntFactor) * RESPONSE_TIME_WEIGHT
    }

    private fun recordOutcome(failed: Boolean, now: Instant) {
        val current = currentFailureRate(now)
        failureRate = current * (1 - FAILURE_WEIGHT) + if (failed) FAILURE_WEIGHT else 0.0
        failureRateUpdatedAt = now
    }

    private companion object {
        const val RESPONSE_TIME_WEIGHT = 0.15
        const val FAILURE_WEIGHT = 0.2
        const val FAILURE_PENALTY = 12.0
        val FAILURE_DECAY_TIME = 4.seconds
        val REPORT_VALIDITY = 1500.milliseconds
    }
}
