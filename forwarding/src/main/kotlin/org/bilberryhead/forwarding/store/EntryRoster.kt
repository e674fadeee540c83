package org.bilberryhead.forwarding.store

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.SocketAddressTextSerializer
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.platform.wire.StoreRow

/** What an entry writes about itself into the store, under its id. */
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
        /** Returns the row in [text], or null when it is none. */
        fun decode(text: String): EntryRow? = try {
            Json.decodeFromString(serializer(), text)
        } catch (_: SerializationException) {
            // Another program's row, or one of an older version; it names no entry.
            null
        }
    }
}

/** All entries that ever wrote their row: an upper bound of those that share the budgets of the deployment. */
internal class EntryRoster(private val own: EntryRecord) : TableListener {
    private val entries = mutableMapOf(own.id to own)
    private var isKnown = false

    /** All entries, this one among them. */
    var records: List<EntryRecord> = listOf(own)
        private set

    /** How many entries share what is shared; before they are known, an upper bound for small deployments. */
    val count: Int get() = if (isKnown) entries.size else UNKNOWN_COUNT

    override fun replaced(rows: List<StoreRow>, afterOutage: Boolean) {
        isKnown = true
        changed(rows)
    }

    override fun changed(rows: List<StoreRow>) {
        for (row in rows) {
            val id = DaemonId(row.key)
            val record = row.value?.let(EntryRow::decode)?.toRecord(id)
            if (record != null && id != own.id) entries[id] = record
        }
        records = entries.values.toList()
    }

    private companion object {
        const val UNKNOWN_COUNT = 12
    }
}
