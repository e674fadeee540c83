package org.bilberryhead.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Writes structured log lines about decisions, at most [linesPerSecond] of each kind per second. The next line
 * written of a kind reports how many were dropped before it.
 *
 * @property linesPerSecond largest number of lines of one kind per second; may change at any time
 */
internal class DecisionLog(var linesPerSecond: Int, private val now: () -> Instant) {
    private val logger = KotlinLogging.logger("decisions")
    private val windows = mutableMapOf<String, Window>()

    /** Writes a line of [kind] with [fields], unless the limit of that kind is reached. */
    fun write(kind: String, fields: () -> Map<String, Any?>) {
        val window = windows.getOrPut(kind) { Window(now()) }
        val droppedLines = window.admit(now()) ?: return
        logger.atInfo {
            message = kind
            payload = buildMap {
                fields().forEach { (key, value) -> if (value != null) put(key, value.toString()) }
                if (droppedLines > 0) put("lines_left_out", droppedLines)
            }
        }
    }

    private inner class Window(private var startedAt: Instant) {
        private var written = 0
        private var dropped = 0

        /** Returns the number of lines dropped before this one, or null when this one is to be dropped too. */
        fun admit(at: Instant): Int? {
            if (at - startedAt >= 1.seconds) {
                startedAt = at
                written = 0
            }
            if (written >= linesPerSecond) {
                dropped++
                return null
            }
            written++
            return dropped.also { dropped = 0 }
        }
    }
}
