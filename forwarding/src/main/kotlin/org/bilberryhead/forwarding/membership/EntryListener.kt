package org.bilberryhead.forwarding.membership

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.serving.EntryMembership
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.store.EntryRow
import org.bilberryhead.forwarding.store.TableListener
import org.bilberryhead.forwarding.store.TableReading
import org.bilberryhead.platform.wire.StoreRow

/**
 * Updates [membership] from the rows that entries write about themselves.
 *
 * @param storeRestored called with this entry's own row, or null, when the store has come back from a copy
 */
internal class EntryListener(
    private val ownId: DaemonId,
    private val membership: EntryMembership,
    private val decisions: DecisionLog,
    private val storeRestored: (ownRow: StoreRow?) -> Unit,
) : TableListener {
    val versions = RowVersions()

    override fun onTableRead(rows: List<StoreRow>, reading: TableReading) {
        versions.update(rows, areComplete = true)
        membership.replaceEntries(rows.mapNotNull(::record), isRestored = reading.afterRestore)
        if (reading.afterRestore) storeRestored(rows.firstOrNull { it.key == ownId.value })
    }

    override fun onRowsChanged(rows: List<StoreRow>) {
        versions.update(rows, areComplete = false)
        val newestRows = rows.associateBy { it.key }.values
        val removed = newestRows.filter { it.value == null }.map { DaemonId(it.key) }
        membership.updateEntries(newestRows.mapNotNull(::record), removed)
    }

    private fun record(row: StoreRow): EntryRecord? {
        val text = row.value ?: return null
        val decoded = EntryRow.decode(text)
        if (decoded == null) decisions.write("entry row unreadable") { mapOf("entry" to row.key) }
        return decoded?.toRecord(DaemonId(row.key))
    }
}
