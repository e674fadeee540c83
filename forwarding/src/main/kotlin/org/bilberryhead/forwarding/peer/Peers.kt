package org.bilberryhead.forwarding.peer

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.serving.CoordinatorRanking
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.forwarding.stage.Coordinators

/** The other entries, each with its client. */
internal class Peers(
    private val own: DaemonId,
    private val records: () -> List<EntryRecord>,
    private val newClient: (EntryRecord) -> PeerClient,
) : Coordinators {
    private val clients = mutableMapOf<DaemonId, PeerClient>()
    private val orders = mutableMapOf<PoolName, List<Pair<EntryRecord, PeerClient?>>>()
    private var orderedRecords: List<EntryRecord> = emptyList()

    override fun of(pool: PoolName): List<Pair<EntryRecord, PeerClient?>> {
        val present = records()
        if (present != orderedRecords) {
            orderedRecords = present
            orders.clear()
        }
        return orders.getOrPut(pool) { CoordinatorRanking.order(pool, present).map { it to client(it) } }
    }

    private fun client(record: EntryRecord): PeerClient? = when {
        record.id == own -> null
        // What was seen of an earlier run says nothing of this one.
        else -> clients[record.id]?.takeIf { it.address == record.peerAddress && it.run == record.runId }
            ?: newClient(record).also { clients[record.id] = it }
    }
}
