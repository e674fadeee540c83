package org.bilberryhead.forwarding.membership

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.platform.wire.StoreRow
import org.bilberryhead.platform.wire.StoreVersion

/** Versions of the rows of a table that were read last, by the entries that wrote them. */
internal class RowVersions {
    private val versions = mutableMapOf<DaemonId, StoreVersion>()

    /** Returns the version of the row of [id]; null when there is none. */
    fun of(id: DaemonId): StoreVersion? = versions[id]

    /** Records changed [rows]; [areComplete] when they are all rows of the table. */
    fun update(rows: List<StoreRow>, areComplete: Boolean) {
        if (areComplete) versions.clear()
        for (row in rows) {
            if (row.value == null) versions -= DaemonId(row.key) else versions[DaemonId(row.key)] = row.version
        }
    }
}
