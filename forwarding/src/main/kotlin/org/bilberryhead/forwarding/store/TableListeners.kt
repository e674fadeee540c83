package org.bilberryhead.forwarding.store

import org.bilberryhead.platform.wire.StoreRow

/** Passes the rows of one table to several [listeners], in their order. */
internal class TableListeners(private vararg val listeners: TableListener) : TableListener {
    override fun onTableRead(rows: List<StoreRow>, reading: TableReading) =
        listeners.forEach { it.onTableRead(rows, reading) }

    override fun onRowsChanged(rows: List<StoreRow>) = listeners.forEach { it.onRowsChanged(rows) }
}
