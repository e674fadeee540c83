package org.bilberryhead.forwarding.peer

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.http.ExchangeEnd
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.forwarding.http.SingleExchange
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What this entry knows from the store, as far as catching up is concerned. */
internal interface StoreKnowledge {
    /** Whether the store answers this entry. */
    val isFresh: Boolean

    /** How long ago the store told the endpoints; null when it never did. */
    val age: Duration?

    /** Takes what a peer knows. [withEndpoints] when the peer's knowledge of the endpoints is newer. */
    fun take(snapshot: SnapshotMessage, withEndpoints: Boolean)
}

/** Asks other entries, one after the other, for what the store told them while it does not answer this entry. */
internal class PeerCatchUp(
    private val thread: EventThread,
    private val exchange: SingleExchange,
    private val knowledge: StoreKnowledge,
    private val decisions: DecisionLog,
    private val peers: () -> List<SocketAddress>,
) {
    private var next = 0

    /** Begins to watch whether the store answers. */
    fun start() = thread.every(INTERVAL) { if (!knowledge.isFresh) askNext() }

    private fun askNext() {
        val known = peers()
        if (known.isEmpty()) return
        val peer = known[next++ % known.size]
        val headers = DefaultHttpHeaders().add("Host", peer.toString())
        val request = OutboundRequest(HttpMethod.GET, PeerPaths.SNAPSHOT, headers, ByteArray(0))
        exchange.run(peer, request, ANSWER_LIMIT) { end -> take(peer, end) }
    }

    private fun take(peer: SocketAddress, end: ExchangeEnd) {
        if (knowledge.isFresh) return
        val answer = (end as? ExchangeEnd.Answered)?.response ?: return
        val snapshot = PeerCodec.decode(SnapshotMessage.serializer(), answer.body) ?: return
        val theirs = snapshot.ageMs?.milliseconds
        val own = knowledge.age
        val isNewer = theirs != null && (own == null || theirs < own)
        decisions.write("caught up from a peer") {
            mapOf(
                "peer" to peer,
                "endpoints" to snapshot.endpoints.size,
                "age_ms" to snapshot.ageMs,
                "newer" to isNewer,
            )
        }
        knowledge.take(snapshot, isNewer)
    }

    private companion object {
        val INTERVAL = 400.milliseconds
        val ANSWER_LIMIT = 500.milliseconds
    }
}
