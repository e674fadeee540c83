package org.bilberryhead.forwarding.membership

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.serving.EntryMembership
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.store.TableListener
import org.bilberryhead.forwarding.store.TableReading
import org.bilberryhead.platform.wire.StoreRow

/** Updates [membership] from the leases of entries. The table of leases is always read completely. */
internal class LeaseListener(private val membership: EntryMembership, private val decisions: DecisionLog) :
    TableListener {
    val versions = RowVersions()

    override fun onTableRead(rows: List<StoreRow>, reading: TableReading) {
        versions.update(rows, areComplete = true)
        membership.updateLeases(rows.mapNotNull(::lease).toMap(), isRestored = reading.afterRestore)
    }

    override fun onRowsChanged(rows: List<StoreRow>) = Unit

    private fun lease(row: StoreRow): Pair<DaemonId, Long>? {
        val text = row.value ?: return null
        val renewal = text.toLongOrNull()
        if (renewal == null) decisions.write("lease unreadable") { mapOf("entry" to row.key) }
        return renewal?.let { DaemonId(row.key) to it }
    }
}
