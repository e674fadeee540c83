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
            share(mean.attainment),
            share(mean.attainmentOfOthers),
            share(mean.goodput),
            share(mean.endpointSecondsPerAnswer.sum()),
            share(mean.wasted),
            share(mean.extra),
            share(mean.exceptionalShare),
            share(mean.attainmentAfterBurst),
            String.format(Locale.ROOT, "%.0f", mean.latencyMillis.median),
            String.format(Locale.ROOT, "%.0f", mean.latencyMillis.late),
        )
        return cells.joinToString(" | ", "| ", " |")
    }

    private fun share(value: Double) = String.format(Locale.ROOT, "%.4f", value)

    private companion object {
        val COLUMNS = listOf(
            "load", "policy", "attainment", "others", "goodput", "s/answer", "wasted", "extra", "on bad", "after",
            "p50", "p99",
        )
    }
}
