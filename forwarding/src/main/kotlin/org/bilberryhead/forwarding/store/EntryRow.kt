package org.bilberryhead.forwarding.store

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.SocketAddressTextSerializer
import org.bilberryhead.core.common.decodeOrNull
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.platform.wire.parseSocketAddress

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
    /** Names in an address are excluded, as a lookup would stop the event thread. */
    private val isPlausible: Boolean
        get() = processorShare in PROCESSOR_SHARES && parseSocketAddress(peers.toString()) != null

    fun encode(): String = Json.encodeToString(serializer(), this)

    fun toRecord(id: DaemonId) = EntryRecord(id, dataCentre, peers, processorShare, run, isLeaving)

    companion object {
        /** Returns the row in [text], or null when it cannot be decoded. */
        fun decode(text: String): EntryRow? =
            decodeOrNull { Json.decodeFromString(serializer(), text) }?.takeIf { it.isPlausible }

        /** Excludes cores that would make every other entry look small. */
        private val PROCESSOR_SHARES = 0.0..10_000.0
    }
}
