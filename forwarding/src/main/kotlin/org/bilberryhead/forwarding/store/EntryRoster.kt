package org.bilberryhead.forwarding.store

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.serving.EntryPlace
import org.bilberryhead.platform.wire.StoreRow

/** All entries that ever wrote their row: an upper bound of those that share the budgets of the deployment. */
internal class EntryRoster(private val own: DaemonId, private val dataCentre: DataCentre) : TableListener {
    private val entries = sortedMapOf(own to dataCentre)
    private var isKnown = false

    /** This entry among all entries; before they are known, one of many. */
    val place: EntryPlace
        get() = EntryPlace(
            entries = if (isKnown) entries.size else UNKNOWN_COUNT,
            rankInDataCentre = entries.filterValues { it == dataCentre }.keys.indexOf(own).coerceAtLeast(0),
        )

    override fun replaced(rows: List<StoreRow>, afterOutage: Boolean) {
        isKnown = true
        changed(rows)
    }

    override fun changed(rows: List<StoreRow>) = rows.forEach { row ->
        row.value?.let { entries[DaemonId(row.key)] = DataCentre(it) }
    }

    private companion object {
        /** Small deployments have fewer entries, so that a share is never too large. */
        const val UNKNOWN_COUNT = 12
    }
}
