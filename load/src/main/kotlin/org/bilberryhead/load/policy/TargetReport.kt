package org.bilberryhead.load.policy

import java.util.Locale

/** Renders verdicts: one line for each target, and one for each cell that misses it. */
class TargetReport(private val verdicts: List<TargetVerdict>) {
    /** Returns the verdicts in Markdown. */
    fun text(): String = buildString {
        appendLine("### Targets")
        appendLine()
        appendLine("| target | cells met | cells not met: measured, limit |")
        appendLine("|---|---|---|")
        for ((target, members) in verdicts.groupBy { it.target }) {
            val missed = members.filter { !it.isMet }
            val met = "${members.size - missed.size} of ${members.size}"
            appendLine("| $target | $met | ${missed.joinToString("; ") { describe(it) }} |")
        }
    }

    private fun describe(verdict: TargetVerdict): String {
        val cell = "${verdict.deployment.title}, ${verdict.scenario.title}, load ${verdict.loadFactor}"
        return String.format(Locale.ROOT, "%s: %.4f, %.4f", cell, verdict.measured, verdict.limit)
    }
}
