package org.bilberryhead.forwarding.stage

import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.StagePiece
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.http.ExchangeEnd
import org.bilberryhead.forwarding.peer.PeerClient
import org.bilberryhead.forwarding.peer.PeerCodec
import org.bilberryhead.forwarding.peer.PeerExchange
import org.bilberryhead.forwarding.peer.PeerPaths
import org.bilberryhead.forwarding.peer.PieceMessage
import org.bilberryhead.forwarding.peer.PieceOutcomesMessage
import org.bilberryhead.forwarding.peer.PiecesMessage
import org.bilberryhead.forwarding.peer.ReleaseMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The entries that may coordinate a pool, in order, and how each is reached; null is this entry itself. */
internal fun interface Coordinators {
    /** Returns the entries in the order in which they should coordinate [pool]. */
    fun of(pool: PoolName): List<Pair<EntryRecord, PeerClient?>>
}

/** Has pieces of one pool made by its coordinator, which may be this entry. */
internal class StageCoordinatorClient(
    private val pool: PoolName,
    private val local: StageScheduler,
    private val coordinators: Coordinators,
    private val thread: EventThread,
    private val isDraining: () -> Boolean,
) {
    private val exchanges = mutableMapOf<RequestId, MutableSet<PeerExchange>>()
    private val released = mutableListOf<ResultHandle>()

    /** Usual time from the start of a call to its end. */
    val usualCallTime: Duration get() = local.usualCallTime

    /** How long endpoints keep a result that nobody gives up. */
    val keepTime: Duration get() = local.keepTime

    /** Asks for [pieces] of one request; [ended] is told once of each, unless they are dropped. */
    fun submit(pieces: List<StagePiece>, ended: (StagePiece, PieceCallOutcome) -> Unit) =
        submit(pieces, emptySet(), ended)

    private fun submit(
        pieces: List<StagePiece>,
        passedOver: Set<PeerClient>,
        ended: (StagePiece, PieceCallOutcome) -> Unit,
    ) {
        val peer = coordinator(passedOver) ?: return local.submit(pieces, ended)
        val request = pieces.first().request
        val now = thread.now()
        val message = PiecesMessage(pool, pieces.map { PieceMessage.of(it, now) })
        val body = PeerCodec.encode(PiecesMessage.serializer(), message)
        var exchange: PeerExchange? = null
        exchange = peer.call(PeerPaths.PIECES, body) { end ->
            exchange?.let { exchanges[request]?.remove(it) }
            val ends = endsOf(end)
            if (ends == null) {
                peer.markUnavailable()
                submit(pieces, passedOver + peer, ended)
            } else {
                deliver(pieces, ends, ended)
            }
        }
        exchanges.getOrPut(request) { mutableSetOf() } += exchange
    }

    private fun endsOf(end: ExchangeEnd): PieceOutcomesMessage? = (end as? ExchangeEnd.Answered)?.response
        ?.takeIf { it.head.status == OK }
        ?.let { PeerCodec.decode(PieceOutcomesMessage.serializer(), it.body) }

    private fun deliver(
        pieces: List<StagePiece>,
        message: PieceOutcomesMessage,
        ended: (StagePiece, PieceCallOutcome) -> Unit,
    ) {
        val ends = message.ends.associateBy { it.stage to it.index }
        for (piece in pieces) {
            ended(
                piece,
                ends[piece.stage to piece.index]?.toCallOutcome()
                    ?: PieceCallOutcome.CallFailed("the coordinator left it out"),
            )
        }
    }

    /** Drops the pieces of [request]. */
    fun cancel(request: RequestId) {
        local.cancel(request)
        exchanges.remove(request)?.forEach { it.cancel() }
    }

    /** Gives up results that were made for this entry. */
    fun release(handles: List<ResultHandle>) {
        if (handles.isEmpty()) return
        if (released.isEmpty()) thread.after(GATHER_TIME) { flush() }
        released += handles
    }

    private fun flush() {
        val handles = released.toList()
        released.clear()
        val peer = coordinator(emptySet()) ?: return local.release(handles)
        val body = PeerCodec.encode(ReleaseMessage.serializer(), ReleaseMessage(pool, handles.map { it.value }))
        peer.call(PeerPaths.RELEASE, body) { end -> if (end !is ExchangeEnd.Answered) local.release(handles) }
    }

    /** The peer that coordinates, or null when this entry does. An entry that ends leaves it to the others. */
    private fun coordinator(passedOver: Set<PeerClient>): PeerClient? = coordinators.of(pool)
        .firstOrNull { (_, peer) -> if (peer == null) !isDraining() else peer.isUsable && peer !in passedOver }
        ?.second

    private companion object {
        const val OK = 200
        val GATHER_TIME = 5.milliseconds
    }
}
