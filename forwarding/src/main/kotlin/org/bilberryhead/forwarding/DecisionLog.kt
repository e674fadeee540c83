package org.bilberryhead.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Writes structured lines about decisions, at most [linesPerSecond] of each kind a second; what was left out is counted
 * on the next line of its kind.
 *
 * @property linesPerSecond may change at any time
 */
internal class DecisionLog(var linesPerSecond: Int, private val now: () -> Instant) {
    private val logger = KotlinLogging.logger("decisions")
    private val kinds = mutableMapOf<String, Window>()

    /** Writes a line of [kind] with [fields], unless too many were written. */
    fun write(kind: String, fields: () -> Map<String, Any?>) {
        val window = kinds.getOrPut(kind) { Window(now()) }
        val skipped = window.admit(now()) ?: return
        logger.atInfo {
            message = kind
            payload = buildMap {
                fields().forEach { (key, value) -> if (value != null) put(key, value.toString()) }
                if (skipped > 0) put("lines_left_out", skipped)
            }
        }
    }

    private inner class Window(private var startedAt: Instant) {
        private var written = 0
        private var leftOut = 0

        /** Returns how many lines were left out before this one, or null when this one is left out too. */
        fun admit(at: Instant): Int? {
            if (at - startedAt >= 1.seconds) {
                startedAt = at
                written = 0
            }
            if (written >= linesPerSecond) {
                leftOut++
                return null
            }
            written++
            return leftOut.also { leftOut = 0 }
        }
    }
}
