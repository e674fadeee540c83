package org.bilberryhead.load.policy

import kotlinx.serialization.Serializable

/**
 * Result of one run of an experiment. Shares are between 0 and 1.
 *
 * @property attainment share of the counted requests that were answered within their deadline
 * @property attainmentOfOthers the same, without the account that floods
 * @property goodput responses within the deadline, as a share of the lesser of offered load and capacity
 * @property endpointSecondsPerAnswer endpoint time by stage per response within the deadline, in seconds
 * @property wasted share of the endpoint time spent on requests without a response within the deadline
 * @property extra retries and hedges, as a share of the first attempts of the stages
 * @property exceptionalShare share of the last stage's attempts that went to the exceptional endpoint, 2 s after its
 *   condition started and while it lasted
 * @property attainmentAfterBurst attainment of requests that arrived later than one deadline after the burst
 * @property latencyMillis median and 99th percentile of the latency of responses within the deadline, in milliseconds
 */
@Serializable
data class RunResult(
    val attainment: Double,
    val attainmentOfOthers: Double,
    val goodput: Double,
    val endpointSecondsPerAnswer: List<Double>,
    val wasted: Double,
    val extra: Double,
    val exceptionalShare: Double,
    val attainmentAfterBurst: Double,
    val latencyMillis: LatencySummary,
) {
    /** Share of the counted requests that were not answered within their deadline. */
    val missed: Double get() = 1 - attainment

    companion object {
        /** Returns the mean of [results]. */
        fun mean(results: List<RunResult>): RunResult = RunResult(
            attainment = results.meanOf { it.attainment },
            attainmentOfOthers = results.meanOf { it.attainmentOfOthers },
            goodput = results.meanOf { it.goodput },
            endpointSecondsPerAnswer = results.first().endpointSecondsPerAnswer.indices.map { stage ->
                results.meanOf { it.endpointSecondsPerAnswer[stage] }
            },
            wasted = results.meanOf { it.wasted },
            extra = results.meanOf { it.extra },
            exceptionalShare = results.meanOf { it.exceptionalShare },
            attainmentAfterBurst = results.meanOf { it.attainmentAfterBurst },
            latencyMillis = LatencySummary(
                results.meanOf { it.latencyMillis.median },
                results.meanOf { it.latencyMillis.late },
            ),
        )

        private fun List<RunResult>.meanOf(value: (RunResult) -> Double) = sumOf(value) / size
    }
}

/**
 * Latency of responses, in milliseconds.
 *
 * @property late 99th percentile
 */
@Serializable
data class LatencySummary(val median: Double, val late: Double)
