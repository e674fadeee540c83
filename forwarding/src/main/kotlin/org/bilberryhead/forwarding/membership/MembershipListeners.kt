package org.bilberryhead.forwarding.membership

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.serving.EntryMembership
import org.bilberryhead.forwarding.store.EntryRow
import org.bilberryhead.forwarding.store.TableListener
import org.bilberryhead.platform.wire.StoreRow

/** Versions of the rows of a table that were read last, by the entries that wrote them. */
internal class RowVersions {
    private val versions = mutableMapOf<DaemonId, Long>()

    /** Returns the version of the row of [id]; 0 when there is none. */
    fun of(id: DaemonId): Long = versions[id] ?: 0

    /** Records changed [rows]; [areComplete] when they are all rows of the table. */
    fun update(rows: List<StoreRow>, areComplete: Boolean) {
        if (areComplete) versions.clear()
        for (row in rows) {
            if (row.value == null) versions -= DaemonId(row.key) else versions[DaemonId(row.key)] = row.version
        }
    }
}

/** Updates [membership] from the rows that entries write about themselves. */
internal class EntryListener(private val membership: EntryMembership) : TableListener {
    val versions = RowVersions()

    override fun onTableRead(rows: List<StoreRow>, afterOutage: Boolean) {
        versions.update(rows, areComplete = true)
        membership.replaceEntries(rows.mapNotNull(::record))
    }

    override fun onRowsChanged(rows: List<StoreRow>) {
        versions.update(rows, areComplete = false)
        val newestRows = rows.associateBy { it.key }.values
        val removed = newestRows.filter { it.value == null }.map { DaemonId(it.key) }
        membership.updateEntries(newestRows.mapNotNull(::record), removed)
    }

    private fun record(row: StoreRow) = row.value?.let(EntryRow::decode)?.toRecord(DaemonId(row.key))
}

/** Updates [membership] from the leases of entries. The table of leases is always read completely. */
internal class LeaseListener(private val membership: EntryMembership) : TableListener {
    val versions = RowVersions()

    override fun onTableRead(rows: List<StoreRow>, afterOutage: Boolean) {
        versions.update(rows, areComplete = true)
        val renewals = rows.mapNotNull { row -> row.value?.toLongOrNull()?.let { DaemonId(row.key) to it } }
        membership.updateLeases(renewals.toMap())
    }

    override fun onRowsChanged(rows: List<StoreRow>) = Unit
}
