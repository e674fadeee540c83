package org.bilberryhead.load.policy

/**
 * What one run of an experiment came to. Shares are between 0 and 1.
 *
 * @property attainment share of the counted requests that were answered within their deadline
 * @property attainmentOfOthers the same, without the account that floods
 * @property goodput answers within the deadline, as a share of the lesser of what was asked and what the pools can do
 * @property endpointSecondsPerAnswer endpoint time by stage for each answer within the deadline, in seconds
 * @property wasted share of the endpoint time that went to requests without an answer within the deadline
 * @property extra attempts beyond the first of each stage, as a share of the first ones
 * @property exceptionalShare share of the last stage's attempts that went to the exceptional endpoint, 2 s after its
 *   condition began and while it lasted
 * @property attainmentAfterBurst attainment of requests that arrived later than one deadline after the burst
 * @property latencyMillis median and 99th percentile of the answers' times, in milliseconds
 */
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
 * Times of answers in milliseconds.
 *
 * @property late 99th percentile
 */
data class LatencySummary(val median: Double, val late: Double)
