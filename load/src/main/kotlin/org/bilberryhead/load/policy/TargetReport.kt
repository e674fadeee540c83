package org.bilberryhead.load.policy

import java.util.Locale

/** Renders the results of the targets: one row for each target, with the cells that miss it. */
class TargetReport(private val results: List<TargetResult>) {
    /** Returns the results as a Markdown table. */
    fun text(): String = buildString {
        appendLine("### Targets")
        appendLine()
        appendLine("| target | cells met | cells not met: measured, limit |")
        appendLine("|---|---|---|")
        for ((target, members) in results.groupBy { it.target }) {
            val missed = members.filter { !it.isMet }
            val met = "${members.size - missed.size} of ${members.size}"
            appendLine("| $target | $met | ${missed.joinToString("; ") { describe(it) }} |")
        }
    }

    private fun describe(result: TargetResult): String {
        val cell = "${result.deployment.title}, ${result.scenario.title}, load ${result.loadFactor}"
        return String.format(Locale.ROOT, "%s: %.4f, %.4f", cell, result.measured, result.limit)
    }
}
