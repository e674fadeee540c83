package org.bilberryhead.core.serving

import kotlin.math.exp
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** What an endpoint said of its load on an answer. */
data class LoadReport(val running: Int, val waiting: Int, val slots: Int)

/** How one exchange with an endpoint ended, as far as choosing endpoints cares. */
enum class ExchangeResult {
    /** A complete answer that is not a failure. */
    SUCCEEDED,

    /** The endpoint said that it did not run the request. */
    REFUSED,

    /** A failure, a broken answer or none. */
    FAILED,

    /** Given up by this side; says nothing of the endpoint. */
    ABANDONED,
}

/** What this entry knows of the load, speed and faults of one endpoint. Answers stale reports with its own books. */
class EndpointLoad(private val slots: Int, private val expectedTime: Duration) {
    private var report: LoadReport? = null
    private var reportedAt: Instant? = null
    private var inFlightAtReport = 0
    private var timeEstimate = expectedTime
    private var faultRate = 0.0
    private var faultAt: Instant? = null
    private var slowestWaitFrom = ArrayDeque<Instant>()

    /** Requests sent to the endpoint and not answered. */
    var inFlight = 0
        private set

    /** Counts a request that is sent now. */
    fun begin(now: Instant) {
        inFlight++
        slowestWaitFrom.addLast(now)
    }

    /** Counts the end of a request that was sent [elapsed] ago. */
    fun end(result: ExchangeResult, elapsed: Duration, now: Instant) {
        inFlight--
        slowestWaitFrom.remove(now - elapsed)
        when (result) {
            ExchangeResult.SUCCEEDED -> {
                timeEstimate = timeEstimate * (1 - TIME_WEIGHT) + elapsed * TIME_WEIGHT
                countFault(happened = false, now)
            }

            ExchangeResult.REFUSED, ExchangeResult.FAILED -> countFault(happened = true, now)
            ExchangeResult.ABANDONED -> Unit
        }
    }

    /** Takes a report that came with an answer. */
    fun recordReport(report: LoadReport, now: Instant) {
        this.report = report
        reportedAt = now
        inFlightAtReport = inFlight
    }

    /** Expected time until a request that is sent now is answered, raised by recent faults. */
    fun expectedAnswerTime(now: Instant): Duration {
        val occupied = inFlight + othersInFlight(now) + 1
        val rounds = max(1.0, occupied / slots.toDouble())
        return currentTime(now) * rounds * (1 + FAULT_PENALTY * currentFaultRate(now))
    }

    /** Share of recent exchanges that failed, fading with time so that an endpoint is tried again. */
    fun currentFaultRate(now: Instant): Double {
        val since = faultAt ?: return 0.0
        return faultRate *
            exp(-(now - since).toDouble(DurationUnit.SECONDS) / FAULT_MEMORY.toDouble(DurationUnit.SECONDS))
    }

    /** A request that has waited for long already tells more than those that ended. */
    private fun currentTime(now: Instant): Duration {
        val longestWait = slowestWaitFrom.firstOrNull()?.let { now - it } ?: Duration.ZERO
        return maxOf(timeEstimate, longestWait / 2)
    }

    private fun othersInFlight(now: Instant): Int {
        val last = report ?: return 0
        val age = now - (reportedAt ?: return 0)
        if (age > REPORT_LIFE) return 0
        return max(0, last.running + last.waiting - inFlightAtReport - 1)
    }

    private fun countFault(happened: Boolean, now: Instant) {
        val current = currentFaultRate(now)
        faultRate = current * (1 - FAULT_WEIGHT) + if (happened) FAULT_WEIGHT else 0.0
        faultAt = now
    }

    private companion object {
        const val TIME_WEIGHT = 0.15
        const val FAULT_WEIGHT = 0.2
        const val FAULT_PENALTY = 12.0
        val FAULT_MEMORY = 4.seconds
        val REPORT_LIFE = 1500.milliseconds
    }
}
