package org.bilberryhead.load.policy

import org.HdrHistogram.Histogram
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.pipeline.RequestOutcome
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Collects the outcomes, attempts and endpoint time of one run. */
class RunMeter(private val scenario: Scenario, private val exceptional: EndpointId, private val stages: Int) {
    private class Outcome(val arrivedAt: Duration, val account: Int, val endpointSeconds: DoubleArray) {
        var isInTime = false
    }

    private val outcomes = HashMap<RequestId, Outcome>()
    private val latency = Histogram(SIGNIFICANT_DIGITS)
    private var firstAttempts = 0
    private var attempts = 0
    private var observedAttempts = 0
    private var attemptsOnExceptional = 0

    /** Records that a request of [account] arrived. */
    fun recordArrival(id: RequestId, account: Int, at: Duration) {
        outcomes[id] = Outcome(at, account, DoubleArray(stages))
    }

    /** Records that a request ended with [outcome]. */
    fun recordOutcome(id: RequestId, outcome: RequestOutcome, at: Duration) {
        val record = outcomes.getValue(id)
        record.isInTime = outcome is RequestOutcome.Answered && at - record.arrivedAt <= Deployment.DEADLINE
        if (record.isInTime && isCounted(record)) latency.recordValue((at - record.arrivedAt).inWholeMicroseconds)
    }

    /** Records that an attempt was sent to [endpoint]. */
    fun recordAttempt(endpoint: EndpointId, dispatch: Dispatch, isLastStage: Boolean, at: Duration) {
        attempts++
        val isFirst = startedStages.add(dispatch.request.value + dispatch.stage.value)
        if (isFirst) firstAttempts++
        val observedFrom = scenario.conditionFrom + OBSERVATION_DELAY
        if (!isLastStage || at < observedFrom || at > scenario.conditionUntil) return
        observedAttempts++
        if (endpoint == exceptional) attemptsOnExceptional++
    }

    private val startedStages = HashSet<String>()

    /** Records that an endpoint worked for [duration] on one stage of a request. */
    fun recordWork(request: RequestId, stageIndex: Int, duration: Duration) {
        outcomes.getValue(request).endpointSeconds[stageIndex] += duration.toDouble(DurationUnit.SECONDS)
    }

    /** Returns the result; [capacity] is the capacity of the pools, in requests per second. */
    fun result(capacity: Double): RunResult {
        val counted = outcomes.values.filter { isCounted(it) }
        val inTime = counted.filter { it.isInTime }
        val others = counted.filter { it.account != Scenario.FLOODING_ACCOUNT }
        val afterBurst = counted.filter { it.arrivedAt >= scenario.burstUntil + Deployment.DEADLINE }
        val countedSeconds = (Scenario.ARRIVALS_DURATION - Scenario.WARM_UP).toDouble(DurationUnit.SECONDS)
        val maximumInTime = min(counted.size.toDouble(), capacity * countedSeconds)
        val spent = counted.sumOf { it.endpointSeconds.sum() }
        val spentInTime = inTime.sumOf { it.endpointSeconds.sum() }
        return RunResult(
            attainment = share(inTime.size, counted.size),
            attainmentOfOthers = share(others.count { it.isInTime }, others.size),
            goodput = inTime.size / maximumInTime,
            endpointSecondsPerAnswer = List(stages) { stage ->
                counted.sumOf { it.endpointSeconds[stage] } / maxOf(1, inTime.size)
            },
            wasted = if (spent == 0.0) 0.0 else 1 - spentInTime / spent,
            extra = share(attempts - firstAttempts, firstAttempts),
            exceptionalShare = share(attemptsOnExceptional, observedAttempts),
            attainmentAfterBurst = share(afterBurst.count { it.isInTime }, afterBurst.size),
            latencyMillis = LatencySummary(percentile(MEDIAN), percentile(NINETY_NINTH)),
        )
    }

    private fun isCounted(outcome: Outcome) = outcome.arrivedAt >= Scenario.WARM_UP

    private fun percentile(percentile: Double) = latency.getValueAtPercentile(percentile) / MICROS_PER_MILLI

    private fun share(part: Int, total: Int) = if (total == 0) 0.0 else part.toDouble() / total

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        const val MEDIAN = 50.0
        const val NINETY_NINTH = 99.0
        const val MICROS_PER_MILLI = 1000.0

        /** Time that a policy has to detect the condition of the exceptional endpoint. */
        val OBSERVATION_DELAY = Duration.parse("2s")
    }
}
