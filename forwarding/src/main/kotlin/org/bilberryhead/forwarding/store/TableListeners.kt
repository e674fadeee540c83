package org.bilberryhead.forwarding.store

import org.bilberryhead.platform.wire.StoreRow

/** Passes the rows of one table to several [listeners], in their order. */
internal class TableListeners(private vararg val listeners: TableListener) : TableListener {
    override fun onTableRead(rows: List<StoreRow>, afterOutage: Boolean) =
        listeners.forEach { it.onTableRead(rows, afterOutage) }

    override fun onRowsChanged(rows: List<StoreRow>) = listeners.forEach { it.onRowsChanged(rows) }
}
