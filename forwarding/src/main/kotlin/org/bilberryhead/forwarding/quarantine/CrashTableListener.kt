package org.bilberryhead.forwarding.quarantine

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.quarantine.CrashReport
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.store.CrashRow
import org.bilberryhead.forwarding.store.TableListener
import org.bilberryhead.forwarding.store.TableReading
import org.bilberryhead.platform.wire.StoreRow
import org.bilberryhead.platform.wire.StoreVersion
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Reads the crash reports of all entries.
 *
 * @param ownRowsRead called once, with the keys of the rows that an earlier run of this entry left in the store, and
 *   their reports
 * @param storeRestored called with the same of the rows of this entry in a store that has come back from a copy
 * @param reportsRead called with the reports of another entry
 */
internal class CrashTableListener(
    private val ownId: DaemonId,
    private val thread: EventThread,
    private val decisions: DecisionLog,
    private val ownRowsRead: (keys: List<String>, List<CrashReport>) -> Unit,
    private val storeRestored: (keys: List<String>, List<CrashReport>) -> Unit,
    private val reportsRead: (List<CrashReport>) -> Unit,
) : TableListener {
    /** A row of another writer, and since when it has been seen unchanged. */
    class KnownRow(val key: String, val version: StoreVersion, val unchangedSince: Instant)

    private val rows = mutableMapOf<String, KnownRow>()
    private var areOwnRowsRead = false

    /** Returns the rows of other writers that have not changed for [time]. */
    fun unchangedFor(time: Duration): List<KnownRow> = rows.values.filter { thread.now() - it.unchangedSince >= time }

    override fun onTableRead(rows: List<StoreRow>, reading: TableReading) {
        this.rows.keys.retainAll(rows.mapTo(mutableSetOf()) { it.key })
        val ownRows = rows.filter { CrashRow.isOf(ownId, it.key) }
        if (!areOwnRowsRead) {
            areOwnRowsRead = true
            ownRowsRead(ownRows.map { it.key }, ownRows.flatMap(::reportsOf))
        } else if (reading.afterRestore) {
            storeRestored(ownRows.map { it.key }, ownRows.flatMap(::reportsOf))
        }
        onRowsChanged(rows)
    }

    override fun onRowsChanged(rows: List<StoreRow>) = rows.filterNot { CrashRow.isOf(ownId, it.key) }.forEach(::read)

    private fun read(row: StoreRow) {
        if (rows[row.key]?.version == row.version) return
        if (row.value == null) {
            rows -= row.key
        } else {
            rows[row.key] = KnownRow(row.key, row.version, thread.now())
            reportsRead(reportsOf(row))
        }
    }

    private fun reportsOf(row: StoreRow): List<CrashReport> {
        val decoded = row.value?.let(CrashRow::decode)
        if (decoded == null && row.value != null) {
            decisions.write("crash reports unreadable") { mapOf("row" to row.key) }
        }
        return decoded?.reports.orEmpty()
    }
}
