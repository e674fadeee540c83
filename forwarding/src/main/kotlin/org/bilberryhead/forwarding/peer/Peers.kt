package org.bilberryhead.forwarding.peer

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.serving.CoordinatorRanking
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.forwarding.stage.Coordinators

/** Keeps a client for each of the other entries. */
internal class Peers(
    private val ownId: DaemonId,
    private val records: () -> List<EntryRecord>,
    private val newClient: (EntryRecord) -> PeerClient,
) : Coordinators {
    private val clients = mutableMapOf<DaemonId, PeerClient>()
    private val rankings = mutableMapOf<PoolName, List<Pair<EntryRecord, PeerClient?>>>()
    private var rankedRecords: List<EntryRecord> = emptyList()

    override fun of(pool: PoolName): List<Pair<EntryRecord, PeerClient?>> {
        val current = records()
        if (current != rankedRecords) {
            rankedRecords = current
            rankings.clear()
        }
        return rankings.getOrPut(pool) { CoordinatorRanking.order(pool, current).map { it to client(it) } }
    }

    private fun client(record: EntryRecord): PeerClient? = when {
        record.id == ownId -> null
        // A client's reachability state does not apply to another incarnation of the peer.
        else -> clients[record.id]?.takeIf { it.address == record.peerAddress && it.incarnation == record.incarnation }
            ?: newClient(record).also { clients[record.id] = it }
    }
}
