package org.bilberryhead.load.policy

import java.util.Locale

/** Renders the lines of an experiment. */
class PolicyReport(private val lines: List<ReportLine>) {
    /** Returns one table for each deployment and scenario, in Markdown. */
    fun text(): String = buildString {
        for ((group, members) in lines.groupBy { it.deployment to it.scenario }) {
            appendLine("### ${group.first.title}: ${group.second.title}")
            appendLine()
            appendLine(COLUMNS.joinToString(" | ", "| ", " |"))
            appendLine(COLUMNS.joinToString("|", "|", "|") { "---" })
            members.forEach { appendLine(row(it)) }
            appendLine()
        }
    }

    private fun row(line: ReportLine): String {
        val mean = line.mean
        val cells = listOf(
            line.loadFactor.toString(),
            line.contender,
            fourDecimals(mean.attainment),
            fourDecimals(mean.attainmentOfOthers),
            fourDecimals(mean.goodput),
            fourDecimals(mean.endpointSecondsPerAnswer.sum()),
            fourDecimals(mean.wasted),
            fourDecimals(mean.extra),
            fourDecimals(mean.exceptionalShare),
            fourDecimals(mean.attainmentAfterBurst),
            String.format(Locale.ROOT, "%.0f", mean.latencyMillis.median),
            String.format(Locale.ROOT, "%.0f", mean.latencyMillis.late),
        )
        return cells.joinToString(" | ", "| ", " |")
    }

    private fun fourDecimals(value: Double) = String.format(Locale.ROOT, "%.4f", value)

    private companion object {
        val COLUMNS = listOf(
            "load", "policy", "attainment", "others", "goodput", "s/answer", "wasted", "extra", "on bad", "after",
            "p50", "p99",
        )
    }
}
