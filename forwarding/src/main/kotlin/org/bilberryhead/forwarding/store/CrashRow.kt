package org.bilberryhead.forwarding.store

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.decodeOrNull
import org.bilberryhead.core.quarantine.CrashId
import org.bilberryhead.core.quarantine.CrashReport
import org.bilberryhead.core.serving.PromptPartId

/** The row in which an entry reports crashes of endpoints, under its id. */
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

    private fun partsOf(ids: Set<String>) = ids.mapTo(mutableSetOf(), ::PromptPartId)

    companion object {
        private const val MAXIMUM_LENGTH = 32_768

        /** Returns the text of a row with the last of [reports], as many as a row holds. */
        fun encode(reports: List<CrashReport>): String {
            val crashes = ArrayDeque<Crash>()
            var length = 0
            for (crash in reports.asReversed().map(::crashOf)) {
                length += Json.encodeToString(Crash.serializer(), crash).length
                if (length > MAXIMUM_LENGTH) break
                crashes.addFirst(crash)
            }
            return Json.encodeToString(serializer(), CrashRow(crashes.toList()))
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
