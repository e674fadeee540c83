package org.bilberryhead.forwarding.store

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.SocketAddressTextSerializer
import org.bilberryhead.core.common.decodeOrNull
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.platform.wire.StoreRow

/**
 * The row that an entry writes about itself into the store, under its id.
 *
 * @property peers address on which other entries call this one
 * @property processorShare processor cores of the entry
 * @property run random number that distinguishes restarts of the entry
 */
@Serializable
internal data class EntryRow(
    val dataCentre: DataCentre,
    @Serializable(with = SocketAddressTextSerializer::class) val peers: SocketAddress,
    val processorShare: Double,
    val run: Long = 0,
    val isLeaving: Boolean = false,
) {
    fun encode(): String = Json.encodeToString(serializer(), this)

    fun toRecord(id: DaemonId) = EntryRecord(id, dataCentre, peers, processorShare, run, isLeaving)

    companion object {
        /** Returns the row in [text], or null when it cannot be decoded. */
        fun decode(text: String): EntryRow? = decodeOrNull { Json.decodeFromString(serializer(), text) }
    }
}

/**
 * All entries that ever wrote their row. Their number is an upper bound of the entries that share the limits of the
 * deployment.
 */
internal class EntryRoster(private val own: EntryRecord) : TableListener {
    private val entries = mutableMapOf(own.id to own)
    private var hasReadRows = false

    /** All entries, including this one. */
    var records: List<EntryRecord> = listOf(own)
        private set

    /** Number of entries that share the limits; until the rows are read, an upper bound for small deployments. */
    val count: Int get() = if (hasReadRows) entries.size else DEFAULT_COUNT

    override fun onTableRead(rows: List<StoreRow>, afterOutage: Boolean) {
        hasReadRows = true
        onRowsChanged(rows)
    }

    override fun onRowsChanged(rows: List<StoreRow>) {
        for (row in rows) {
            val id = DaemonId(row.key)
            val record = row.value?.let(EntryRow::decode)?.toRecord(id)
            if (record != null && id != own.id) entries[id] = record
        }
        records = entries.values.toList()
    }

    private companion object {
        const val DEFAULT_COUNT = 12
    }
}
