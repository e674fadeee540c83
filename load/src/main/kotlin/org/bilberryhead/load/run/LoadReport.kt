package org.bilberryhead.load.run

import kotlinx.serialization.Serializable
import java.util.Locale

/** The results of one load run. */
@Serializable
data class LoadReport(val plan: LoadPlan, val kinds: List<KindReport>) {
    /** Returns the report as a table in Markdown. */
    fun text(): String = buildString {
        appendLine(
            "seed ${plan.seed}, ${plan.ratePerSecond} requests/s for ${plan.duration}, deadline ${plan.deadline}",
        )
        appendLine()
        appendLine(
            "| kind | sent | attainment | late | not run | unknown | rejected | broken | p50 ms | p95 ms | p99 ms |",
        )
        appendLine("|---|---|---|---|---|---|---|---|---|---|---|")
        kinds.forEach { appendLine(row(it)) }
    }

    /** Returns the latencies as a plot in SVG: one line for each kind, over the percentiles. */
    fun svg(): String = buildString {
        val largest = kinds.flatMap { it.latency }.maxOfOrNull { it.millis }?.coerceAtLeast(1.0) ?: 1.0
        appendLine("""<svg xmlns="http://www.w3.org/2000/svg" width="$WIDTH" height="$HEIGHT" font-size="12">""")
        appendLine(label(MARGIN, MARGIN, String.format(Locale.ROOT, "latency in ms, up to %.1f", largest), "black"))
        kinds.forEachIndexed { index, kind ->
            val colour = COLOURS[index % COLOURS.size]
            appendLine(label(MARGIN, MARGIN * (index + 2), kind.kind, colour))
            appendLine(line(kind.latency, largest, colour))
        }
        appendLine("</svg>")
    }

    private fun row(kind: KindReport): String = String.format(
        Locale.ROOT,
        "| %s | %d | %.4f | %d | %d | %d | %d | %d | %.1f | %.1f | %.1f |",
        kind.kind,
        kind.sent,
        kind.attainment,
        kind.late,
        kind.notRun,
        kind.unknown,
        kind.rejected,
        kind.broken,
        millisAt(kind, MEDIAN),
        millisAt(kind, NINETY_FIFTH),
        millisAt(kind, NINETY_NINTH),
    )

    private fun millisAt(kind: KindReport, percentile: Double) = kind.latency.first {
        it.percentile == percentile
    }.millis

    private fun line(points: List<LatencyPoint>, largest: Double, colour: String): String {
        val step = (WIDTH - 2 * MARGIN) / (points.size - 1).coerceAtLeast(1)
        val coordinates = points.mapIndexed { index, point ->
            val y = HEIGHT - MARGIN - point.millis / largest * (HEIGHT - 2 * MARGIN)
            String.format(Locale.ROOT, "%d,%.1f", MARGIN + index * step, y)
        }
        return """<polyline fill="none" stroke="$colour" points="${coordinates.joinToString(" ")}"/>"""
    }

    private fun label(x: Int, y: Int, text: String, colour: String) =
        """<text x="$x" y="$y" fill="$colour">$text</text>"""

    private companion object {
        const val WIDTH = 640
        const val HEIGHT = 360
        const val MARGIN = 20
        const val MEDIAN = 50.0
        const val NINETY_FIFTH = 95.0
        const val NINETY_NINTH = 99.0
        val COLOURS = listOf("#2a7fba", "#c0392b", "#1b7f3b", "#7b5ea7", "#c9a227", "#666666")
    }
}
