package org.bilberryhead.forwarding.store

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.decodeOrNull
import org.bilberryhead.core.quarantine.CrashId
import org.bilberryhead.core.quarantine.CrashReport
import org.bilberryhead.core.serving.PromptPartId

/**
 * A row in which an entry reports crashes of endpoints. Its reports may need several rows: what two rows say of a crash
 * adds up.
 */
@Serializable
internal data class CrashRow(val crashes: List<Crash>) {
    /** One crash; the fields are those of [CrashReport]. */
    @Serializable
    data class Crash(
        val endpoint: EndpointId,
        val startedAt: Long,
        val suspects: Set<String> = emptySet(),
        val cleared: Set<String> = emptySet(),
    )

    /** The reports of the row. */
    val reports: List<CrashReport>
        get() = crashes.map {
            CrashReport(CrashId(it.endpoint, it.startedAt), partsOf(it.suspects), partsOf(it.cleared))
        }

    private fun partsOf(ids: Set<String>) = ids.mapTo(mutableSetOf(), PromptPartId::of)

    companion object {
        /** Length of a row, in characters: half of the bytes that the store takes, as a character may have two. */
        private const val MAXIMUM_LENGTH = 32_768

        /** Rows of one entry, whose change fits into one transaction. */
        private const val MAXIMUM_ROWS = 12

        /** Parts of a crash that are reported together, so that they fit into a row whatever characters they have. */
        private const val PARTS_OF_REPORT = 128

        /** Returns the key of the row [number], from 0, in which [entry] reports crashes. */
        fun keyOf(entry: DaemonId, number: Int): String = if (number == 0) entry.value else "$entry/$number"

        /** Returns whether [key] is that of a row in which [entry] reports crashes. */
        fun isOf(entry: DaemonId, key: String): Boolean = key == entry.value || key.startsWith("$entry/")

        /** Returns the texts of the rows with [reports], the last ones first; the oldest may find no room. */
        fun encode(reports: List<CrashReport>): List<String> {
            val rows = mutableListOf(mutableListOf<Crash>())
            var length = 0
            for (crash in reports.asReversed().flatMap(::split).map(::crashOf)) {
                val crashLength = Json.encodeToString(Crash.serializer(), crash).length
                length += crashLength
                if (length > MAXIMUM_LENGTH) {
                    if (rows.size == MAXIMUM_ROWS) break
                    rows += mutableListOf<Crash>()
                    length = crashLength
                }
                rows.last() += crash
            }
            return rows.filter { it.isNotEmpty() }.map { Json.encodeToString(serializer(), CrashRow(it.asReversed())) }
        }

        private fun split(report: CrashReport): List<CrashReport> {
            if (report.suspects.size + report.cleared.size <= PARTS_OF_REPORT) return listOf(report)
            return report.suspects.chunked(PARTS_OF_REPORT) { CrashReport(report.crash, suspects = it.toSet()) } +
                report.cleared.chunked(PARTS_OF_REPORT) { CrashReport(report.crash, cleared = it.toSet()) }
        }

        /** Returns the row in [text], or null when it cannot be decoded. */
        fun decode(text: String): CrashRow? = decodeOrNull { Json.decodeFromString(serializer(), text) }

        private fun crashOf(report: CrashReport) = Crash(
            endpoint = report.crash.endpoint,
            startedAt = report.crash.startedAt,
            suspects = report.suspects.mapTo(mutableSetOf()) { it.value },
            cleared = report.cleared.mapTo(mutableSetOf()) { it.value },
        )
    }
}
