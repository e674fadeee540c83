package org.bilberryhead.load.policy

/**
 * Whether a target is met in one cell.
 *
 * @property limit threshold that [measured] is compared with
 */
data class TargetResult(
    val target: String,
    val deployment: Deployment,
    val scenario: Scenario,
    val loadFactor: Double,
    val measured: Double,
    val limit: Double,
    val isMet: Boolean,
)

/** Checks the lines of an experiment against the targets. A target whose cells were not run has no result. */
class TargetCheck(private val lines: List<ReportLine>) {
    /** Returns the results of the attainment objective, and of its comparison with the cost objective. */
    fun results(): List<TargetResult> = lines.filter { it.contender == PolicyExperiment.ATTAINMENT_NAME }
        .flatMap {
            straggler(it) + overload(it) + afterBurst(it) + flood(it) + extra(it) + failing(it) + objectives(it)
        }

    private fun straggler(line: ReportLine): List<TargetResult> {
        if (line.scenario != Scenario.STRAGGLER || line.loadFactor != STEADY_LOAD) return emptyList()
        val fewestMissed = lines.filter { it.isBaseline && isSameCell(it, line) }.minOf { it.mean.missed }
        return listOf(
            atLeast("attainment with a straggler", line, line.mean.attainment, MINIMUM_ATTAINMENT),
            atMost("misses against the best baseline's", line, line.mean.missed, fewestMissed * MAXIMUM_MISSED_RATIO),
        )
    }

    private fun overload(line: ReportLine): List<TargetResult> {
        if (line.loadFactor <= 1.0) return emptyList()
        return listOf(
            atLeast("goodput", line, line.mean.goodput, MINIMUM_GOODPUT),
            atMost("endpoint time wasted", line, line.mean.wasted, MAXIMUM_WASTED),
        )
    }

    private fun afterBurst(line: ReportLine): List<TargetResult> {
        if (line.scenario != Scenario.BURST) return emptyList()
        val withoutBurst = find(line, Scenario.SPEEDS, line.contender) ?: return emptyList()
        val limit = withoutBurst.mean.attainment - TOLERANCE
        return listOf(atLeast("attainment after the burst", line, line.mean.attainmentAfterBurst, limit))
    }

    private fun flood(line: ReportLine): List<TargetResult> {
        if (line.scenario != Scenario.FLOOD) return emptyList()
        val withoutFlood = find(line, Scenario.SPEEDS, line.contender) ?: return emptyList()
        val limit = withoutFlood.mean.attainmentOfOthers - TOLERANCE
        return listOf(atLeast("attainment of other accounts", line, line.mean.attainmentOfOthers, limit))
    }

    private fun extra(line: ReportLine) = listOf(atMost("retries and hedges", line, line.mean.extra, MAXIMUM_EXTRA))

    private fun failing(line: ReportLine): List<TargetResult> {
        if (line.scenario != Scenario.FAILING_FAST) return emptyList()
        return listOf(atMost("work for a failing endpoint", line, line.mean.exceptionalShare, MAXIMUM_FAILING_SHARE))
    }

    private fun objectives(line: ReportLine): List<TargetResult> {
        val cost = find(line, line.scenario, PolicyExperiment.COST_NAME) ?: return emptyList()
        val spent = line.mean.endpointSecondsPerAnswer.sum()
        val spentByCost = cost.mean.endpointSecondsPerAnswer.sum()
        return listOf(
            atLeast("attainment against the cost route", line, line.mean.attainment, cost.mean.attainment),
            atMost("endpoint time of the cost route against this route's", line, spentByCost, spent),
        )
    }

    private fun find(line: ReportLine, scenario: Scenario, contender: String) = lines.find {
        it.deployment == line.deployment &&
            it.loadFactor == line.loadFactor &&
            it.scenario == scenario &&
            it.contender == contender
    }

    private fun isSameCell(one: ReportLine, other: ReportLine) = one.deployment == other.deployment &&
        one.scenario == other.scenario &&
        one.loadFactor == other.loadFactor

    private fun atLeast(target: String, line: ReportLine, measured: Double, limit: Double) =
        result("$target at least", line, measured, limit, measured >= limit)

    private fun atMost(target: String, line: ReportLine, measured: Double, limit: Double) =
        result("$target at most", line, measured, limit, measured <= limit)

    private fun result(target: String, line: ReportLine, measured: Double, limit: Double, isMet: Boolean) =
        TargetResult(target, line.deployment, line.scenario, line.loadFactor, measured, limit, isMet)

    private companion object {
        const val STEADY_LOAD = 0.8
        const val MINIMUM_ATTAINMENT = 0.99
        const val MAXIMUM_MISSED_RATIO = 1.0 / 3
        const val MINIMUM_GOODPUT = 0.95
        const val MAXIMUM_WASTED = 0.03
        const val TOLERANCE = 0.01
        const val MAXIMUM_EXTRA = 0.1
        const val MAXIMUM_FAILING_SHARE = 0.01
    }
}
