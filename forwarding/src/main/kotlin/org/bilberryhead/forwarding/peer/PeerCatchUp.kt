package org.bilberryhead.forwarding.peer

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.http.ExchangeOutcome
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.forwarding.http.SingleExchange
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** This entry's copy of the store's data, as [PeerCatchUp] reads and updates it. */
internal interface StoreReplica {
    /** Whether the store responds to this entry's calls. */
    val isStoreReachable: Boolean

    /** Time since the endpoints were last read from the store; null when they never were. */
    val age: Duration?

    /**
     * Applies the [snapshot] that a peer was asked for at [requestedAt]; its endpoints only if [withEndpoints], that is
     * if they are newer.
     */
    fun update(snapshot: SnapshotMessage, withEndpoints: Boolean, requestedAt: Instant)
}

/** Fetches snapshots from the other entries in turn while the store does not respond to this entry. */
internal class PeerCatchUp(
    private val thread: EventThread,
    private val exchange: SingleExchange,
    private val replica: StoreReplica,
    private val decisions: DecisionLog,
    private val peers: () -> List<SocketAddress>,
) {
    private var nextPeerIndex = 0

    /** Starts to check at regular intervals whether the store is reachable. */
    fun start() = thread.every(CHECK_INTERVAL) { if (!replica.isStoreReachable) fetchFromNextPeer() }

    private fun fetchFromNextPeer() {
        val addresses = peers()
        if (addresses.isEmpty()) return
        val peer = addresses[nextPeerIndex++ % addresses.size]
        val headers = DefaultHttpHeaders().add("Host", peer.toString())
        val request = OutboundRequest(HttpMethod.GET, PeerPaths.SNAPSHOT, headers, ByteArray(0))
        val requestedAt = thread.now()
        exchange.send(peer, request, RESPONSE_TIMEOUT) { outcome -> handleOutcome(peer, outcome, requestedAt) }
    }

    private fun handleOutcome(peer: SocketAddress, outcome: ExchangeOutcome, requestedAt: Instant) {
        if (replica.isStoreReachable) return
        val response = (outcome as? ExchangeOutcome.Completed)?.response ?: return
        val snapshot = PeerCodec.decode(SnapshotMessage.serializer(), response.body) ?: return
        val peerAge = snapshot.ageMs?.takeIf { it >= 0 }?.milliseconds
        val ownAge = replica.age
        val isNewer = peerAge != null && (ownAge == null || peerAge < ownAge)
        decisions.write("caught up from a peer") {
            mapOf(
                "peer" to peer,
                "endpoints" to snapshot.endpoints.size,
                "age_ms" to snapshot.ageMs,
                "newer" to isNewer,
            )
        }
        replica.update(snapshot, isNewer, requestedAt)
    }

    private companion object {
        val CHECK_INTERVAL = 400.milliseconds
        val RESPONSE_TIMEOUT = 500.milliseconds
    }
}
