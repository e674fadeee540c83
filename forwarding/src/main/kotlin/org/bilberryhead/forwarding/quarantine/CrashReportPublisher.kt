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
 * Writes this entry's row of crash reports into the store when [reports] have changed. Changes are collected, and a
 * write that fails is repeated. Nothing is written before [allow] was called.
 */
internal class CrashReportPublisher(
    ownId: DaemonId,
    private val writer: StoreWriter,
    private val thread: EventThread,
    private val decisions: DecisionLog,
    private val reports: () -> List<CrashReport>,
) {
    private val row = RowKey(WireTables.CRASHES, ownId.value)
    private var isAllowed = false
    private var isWriting = false
    private var dueAt: Instant? = null
    private var timer: Timer? = null
    private var notBefore = thread.now()
    private var backoff = INITIAL_BACKOFF

    /** Allows writes: the row that an earlier run of this entry left is known, and will not be lost. */
    fun allow() {
        isAllowed = true
        dueAt?.let { writeAt(it) }
    }

    /** Writes the reports within [delay], or as soon as the writes before it allow it. */
    fun publish(delay: Duration) {
        val requestedAt = thread.now() + delay
        val at = dueAt?.let { minOf(it, requestedAt) } ?: requestedAt
        dueAt = at
        if (isAllowed && !isWriting) writeAt(at)
    }

    private fun writeAt(at: Instant) {
        timer?.cancel()
        timer = thread.after(maxOf(at, notBefore) - thread.now()) { write() }
    }

    private fun write() {
        val current = reports()
        val transaction = if (current.isEmpty()) {
            RowTransaction(removals = listOf(row))
        } else {
            RowTransaction(puts = mapOf(row to CrashRow.encode(current)))
        }
        dueAt = null
        isWriting = true
        writer.write(transaction) { status, _ ->
            isWriting = false
            decisions.write("crash reports written") { mapOf("crashes" to current.size, "status" to status) }
            written(isSuccess = status == StoreWriter.OK)
        }
    }

    private fun written(isSuccess: Boolean) {
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
