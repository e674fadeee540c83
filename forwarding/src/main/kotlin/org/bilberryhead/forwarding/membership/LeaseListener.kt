package org.bilberryhead.forwarding.membership

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.serving.EntryMembership
import org.bilberryhead.forwarding.store.TableListener
import org.bilberryhead.platform.wire.StoreRow

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
