package org.bilberryhead.load.policy

import java.util.Locale

/** Plots attainment over load, one panel for each deployment and scenario and one line for each contender. */
class AttainmentPlot(private val lines: List<ReportLine>) {
    private val contenders = lines.map { it.contender }.distinct()

    /** Returns the plot as SVG. */
    fun svg(): String = buildString {
        val panels = lines.groupBy { it.deployment to it.scenario }.toList()
        val height = LEGEND_HEIGHT + (panels.size + COLUMNS - 1) / COLUMNS * PANEL_HEIGHT
        appendLine(
            """<svg xmlns="http://www.w3.org/2000/svg" width="${COLUMNS * PANEL_WIDTH}" height="$height" """ +
                """font-family="sans-serif" font-size="11">""",
        )
        contenders.forEachIndexed { index, name ->
            appendLine(text(MARGIN + index * LEGEND_STEP, MARGIN, name, COLOURS[index % COLOURS.size]))
        }
        panels.forEachIndexed { index, (cell, members) ->
            val left = index % COLUMNS * PANEL_WIDTH + MARGIN
            val top = LEGEND_HEIGHT + index / COLUMNS * PANEL_HEIGHT
            appendLine(text(left, top, "${cell.first.title}: ${cell.second.title}", "black"))
            members.groupBy { it.contender }.forEach { (name, points) -> appendLine(line(left, top, name, points)) }
        }
        appendLine("</svg>")
    }

    private fun line(left: Int, top: Int, name: String, points: List<ReportLine>): String {
        val largest = lines.maxOf { it.loadFactor }
        val coordinates = points.sortedBy { it.loadFactor }.joinToString(" ") { point ->
            val x = left + point.loadFactor / largest * PLOT_WIDTH
            val y = top + MARGIN + (1 - point.mean.attainment) * PLOT_HEIGHT
            String.format(Locale.ROOT, "%.1f,%.1f", x, y)
        }
        val colour = COLOURS[contenders.indexOf(name) % COLOURS.size]
        return """<polyline fill="none" stroke="$colour" points="$coordinates"/>"""
    }

    private fun text(x: Int, y: Int, text: String, colour: String) =
        """<text x="$x" y="$y" fill="$colour">$text</text>"""

    private companion object {
        const val COLUMNS = 3
        const val PANEL_WIDTH = 320
        const val PANEL_HEIGHT = 200
        const val PLOT_WIDTH = 280
        const val PLOT_HEIGHT = 150
        const val MARGIN = 16
        const val LEGEND_HEIGHT = 48
        const val LEGEND_STEP = 150
        val COLOURS = listOf("#999999", "#c9a227", "#2a7fba", "#7b5ea7", "#1b7f3b", "#c0392b")
    }
}
