package org.bilberryhead.forwarding.quarantine

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.quarantine.CrashReport
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.Timer
import org.bilberryhead.forwarding.store.CrashRow
import org.bilberryhead.forwarding.store.StoreWriter
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.RowTransaction
import org.bilberryhead.platform.wire.WireTables
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Writes this entry's crash reports into the store when [reports] have changed: one row, or several when they are many,
 * of which only those that change are written. Changes are collected, and a write that fails is repeated. Nothing is
 * written before [allow] was called.
 */
internal class CrashReportPublisher(
    private val ownId: DaemonId,
    private val writer: StoreWriter,
    private val thread: EventThread,
    private val decisions: DecisionLog,
    private val reports: () -> List<CrashReport>,
) {
    /** The texts of the rows that may be in the store; null for a row whose text is not known. */
    private val written = mutableMapOf<RowKey, String?>()

    /** Number of times that the store has come back from a copy. */
    private var restoreCount = 0
    private var isAllowed = false
    private var isWriting = false
    private var dueAt: Instant? = null
    private var timer: Timer? = null
    private var notBefore = thread.now()
    private var backoff = INITIAL_BACKOFF

    /** Allows writes: the rows that an earlier run of this entry left, with [leftKeys], are known. */
    fun allow(leftKeys: List<String> = emptyList()) {
        isAllowed = true
        recordLeft(leftKeys)
        dueAt?.let { writeAt(it) }
    }

    /** Writes the reports within [delay], or as soon as the writes before it allow it. */
    fun publish(delay: Duration) {
        val requestedAt = thread.now() + delay
        val at = dueAt?.let { minOf(it, requestedAt) } ?: requestedAt
        dueAt = at
        if (isAllowed && !isWriting) writeAt(at)
    }

    /** Writes all reports again within [delay]: the store has lost some, and has rows with [leftKeys]. */
    fun publishAgain(leftKeys: List<String>, delay: Duration) {
        restoreCount++
        written.clear()
        recordLeft(leftKeys)
        publish(delay)
    }

    private fun recordLeft(keys: List<String>) = keys.forEach { written[RowKey(WireTables.CRASHES, it)] = null }

    private fun writeAt(at: Instant) {
        timer?.cancel()
        timer = thread.after(maxOf(at, notBefore) - thread.now()) { write() }
    }

    private fun write() {
        val current = reports()
        val rows = CrashRow.encode(current).withIndex().associate { (number, text) ->
            RowKey(WireTables.CRASHES, CrashRow.keyOf(ownId, number)) to text
        }
        val puts = rows.filter { (row, text) -> written[row] != text }
        val removals = (written.keys - rows.keys).toList()
        dueAt = null
        if (puts.isEmpty() && removals.isEmpty()) return
        isWriting = true
        puts.keys.forEach { written[it] = null }
        val restoresBefore = restoreCount
        writer.write(RowTransaction(puts = puts, removals = removals)) { status, _ ->
            isWriting = false
            decisions.write("crash reports written") {
                mapOf("crashes" to current.size, "rows" to puts.size, "status" to status)
            }
            if (restoreCount != restoresBefore) {
                // The store may have made this change before it came back without it.
                (puts.keys + removals).forEach { written[it] = null }
            } else if (status == StoreWriter.OK) {
                written += puts
                written -= removals.toSet()
            }
            writeEnded(isSuccess = status == StoreWriter.OK)
        }
    }

    private fun writeEnded(isSuccess: Boolean) {
        if (isSuccess) {
            backoff = INITIAL_BACKOFF
            notBefore = thread.now() + INTERVAL
            dueAt?.let { writeAt(it) }
        } else {
            notBefore = thread.now() + backoff
            backoff = (backoff * 2).coerceAtMost(MAXIMUM_BACKOFF)
            publish(Duration.ZERO)
        }
    }

    private companion object {
        /** Least time between two writes. */
        val INTERVAL = 500.milliseconds
        val INITIAL_BACKOFF = 300.milliseconds
        val MAXIMUM_BACKOFF = 5.seconds
    }
}
