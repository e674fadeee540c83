package org.bilberryhead.load.policy

import org.HdrHistogram.Histogram
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.pipeline.RequestOutcome
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Counts what happens in one run. */
class RunMeter(private val scenario: Scenario, private val exceptional: EndpointId, private val stages: Int) {
    private class Outcome(val arrivedAt: Duration, val account: Int, val endpointSeconds: DoubleArray) {
        var isGood = false
    }

    private val outcomes = HashMap<RequestId, Outcome>()
    private val latency = Histogram(SIGNIFICANT_DIGITS)
    private var firstAttempts = 0
    private var attempts = 0
    private var attemptsWatched = 0
    private var attemptsOnExceptional = 0

    /** A request of [account] arrived. */
    fun arrived(id: RequestId, account: Int, at: Duration) {
        outcomes[id] = Outcome(at, account, DoubleArray(stages))
    }

    /** A request ended. */
    fun ended(id: RequestId, outcome: RequestOutcome, at: Duration) {
        val record = outcomes.getValue(id)
        record.isGood = outcome is RequestOutcome.Answered && at - record.arrivedAt <= Deployment.DEADLINE
        if (record.isGood && isCounted(record)) latency.recordValue((at - record.arrivedAt).inWholeMicroseconds)
    }

    /** An attempt was sent. */
    fun dispatched(endpoint: EndpointId, dispatch: Dispatch, isLastStage: Boolean, at: Duration) {
        attempts++
        val isFirst = firstSeen.add(dispatch.request.value + dispatch.stage.value)
        if (isFirst) firstAttempts++
        val watchedFrom = scenario.conditionFrom + WATCH_DELAY
        if (!isLastStage || at < watchedFrom || at > scenario.conditionUntil) return
        attemptsWatched++
        if (endpoint == exceptional) attemptsOnExceptional++
    }

    private val firstSeen = HashSet<String>()

    /** An endpoint worked for [duration] on a request's stage. */
    fun worked(request: RequestId, stageIndex: Int, duration: Duration) {
        outcomes.getValue(request).endpointSeconds[stageIndex] += duration.toDouble(DurationUnit.SECONDS)
    }

    /** Returns the result; [capacity] is what the pools can do, in requests a second. */
    fun result(capacity: Double): RunResult {
        val counted = outcomes.values.filter { isCounted(it) }
        val good = counted.filter { it.isGood }
        val others = counted.filter { it.account != Scenario.FLOODING_ACCOUNT }
        val afterBurst = counted.filter { it.arrivedAt >= scenario.burstUntil + Deployment.DEADLINE }
        val length = (Scenario.LENGTH - Scenario.WARM_UP).toDouble(DurationUnit.SECONDS)
        val possible = min(counted.size.toDouble(), capacity * length)
        val spent = counted.sumOf { it.endpointSeconds.sum() }
        val spentWell = good.sumOf { it.endpointSeconds.sum() }
        return RunResult(
            attainment = share(good.size, counted.size),
            attainmentOfOthers = share(others.count { it.isGood }, others.size),
            goodput = good.size / possible,
            endpointSecondsPerAnswer = List(stages) { stage ->
                counted.sumOf { it.endpointSeconds[stage] } / maxOf(1, good.size)
            },
            wasted = if (spent == 0.0) 0.0 else 1 - spentWell / spent,
            extra = share(attempts - firstAttempts, firstAttempts),
            exceptionalShare = share(attemptsOnExceptional, attemptsWatched),
            attainmentAfterBurst = share(afterBurst.count { it.isGood }, afterBurst.size),
            latencyMillis = LatencySummary(percentile(MEDIAN), percentile(LATE)),
        )
    }

    private fun isCounted(outcome: Outcome) = outcome.arrivedAt >= Scenario.WARM_UP

    private fun percentile(percentile: Double) = latency.getValueAtPercentile(percentile) / MICROS_PER_MILLI

    private fun share(part: Int, whole: Int) = if (whole == 0) 0.0 else part.toDouble() / whole

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        const val MEDIAN = 50.0
        const val LATE = 99.0
        const val MICROS_PER_MILLI = 1000.0

        /** Time that a policy has to notice that an endpoint is not well. */
        val WATCH_DELAY = Duration.parse("2s")
    }
}
