package org.bilberryhead.forwarding.stage

import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.StagePiece
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.http.ExchangeOutcome
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

/** Ranks the entries that can coordinate the stages of a pool. */
internal fun interface Coordinators {
    /**
     * Returns the entries with their clients, the preferred coordinator of [pool] first; the client is null for this
     * entry itself.
     */
    fun of(pool: PoolName): List<Pair<EntryRecord, PeerClient?>>
}

/**
 * Submits the pieces of one pool to the entry that coordinates it, which may be this one, and to the next entry when
 * the coordinator does not respond.
 *
 * @param local the scheduler of this entry for the pool
 */
internal class StageCoordinatorClient(
    private val pool: PoolName,
    private val local: StageScheduler,
    private val coordinators: Coordinators,
    private val thread: EventThread,
    private val isDraining: () -> Boolean,
) {
    private val pendingExchanges = mutableMapOf<RequestId, MutableSet<PeerExchange>>()
    private val pendingReleases = mutableListOf<ResultHandle>()

    /** Expected time from the start of a call to its end. */
    val expectedCallTime: Duration get() = local.expectedCallTime

    /** How long endpoints keep a result that is not released. */
    val resultRetention: Duration get() = local.resultRetention

    /** Submits [pieces], all of one request; [onOutcome] is called once for each unless they are cancelled. */
    fun submit(pieces: List<StagePiece>, onOutcome: (StagePiece, PieceCallOutcome) -> Unit) =
        submit(pieces, emptySet(), onOutcome)

    private fun submit(
        pieces: List<StagePiece>,
        excluded: Set<PeerClient>,
        onOutcome: (StagePiece, PieceCallOutcome) -> Unit,
    ) {
        val peer = coordinator(excluded) ?: return local.submit(pieces, onOutcome)
        val request = pieces.first().request
        val now = thread.now()
        val message = PiecesMessage(pool, pieces.map { PieceMessage.of(it, now) })
        val body = PeerCodec.encode(PiecesMessage.serializer(), message)
        var exchange: PeerExchange? = null
        exchange = peer.call(PeerPaths.PIECES, body) { exchangeOutcome ->
            exchange?.let { pendingExchanges[request]?.remove(it) }
            val outcomes = outcomesOf(exchangeOutcome)
            if (outcomes == null) {
                peer.markUnavailable()
                submit(pieces, excluded + peer, onOutcome)
            } else {
                deliver(pieces, outcomes, onOutcome)
            }
        }
        pendingExchanges.getOrPut(request) { mutableSetOf() } += exchange
    }

    private fun outcomesOf(exchangeOutcome: ExchangeOutcome): PieceOutcomesMessage? =
        (exchangeOutcome as? ExchangeOutcome.Completed)?.response
            ?.takeIf { it.head.status == OK }
            ?.let { PeerCodec.decode(PieceOutcomesMessage.serializer(), it.body) }

    private fun deliver(
        pieces: List<StagePiece>,
        message: PieceOutcomesMessage,
        onOutcome: (StagePiece, PieceCallOutcome) -> Unit,
    ) {
        val outcomes = message.ends.associateBy { it.stage to it.index }
        for (piece in pieces) {
            onOutcome(
                piece,
                outcomes[piece.stage to piece.index]?.toCallOutcome()
                    ?: PieceCallOutcome.CallFailed("the coordinator left it out"),
            )
        }
    }

    /** Cancels the pieces of [request]; no outcome of them is delivered any more. */
    fun cancel(request: RequestId) {
        local.cancel(request)
        pendingExchanges.remove(request)?.forEach { it.cancel() }
    }

    /** Releases results that were computed for requests of this entry. */
    fun release(handles: List<ResultHandle>) {
        if (handles.isEmpty()) return
        if (pendingReleases.isEmpty()) thread.after(RELEASE_BATCH_DELAY) { sendReleases() }
        pendingReleases += handles
    }

    private fun sendReleases() {
        val handles = pendingReleases.toList()
        pendingReleases.clear()
        val peer = coordinator(emptySet()) ?: return local.release(handles)
        val body = PeerCodec.encode(ReleaseMessage.serializer(), ReleaseMessage(pool, handles.map { it.value }))
        peer.call(PeerPaths.RELEASE, body) { exchangeOutcome ->
            if (exchangeOutcome !is ExchangeOutcome.Completed) local.release(handles)
        }
    }

    /**
     * Returns the first usable coordinator that is not in [excluded], or null for this entry. A draining entry is used
     * only when there is no other.
     */
    private fun coordinator(excluded: Set<PeerClient>): PeerClient? = coordinators.of(pool)
        .firstOrNull { (_, peer) -> if (peer == null) !isDraining() else peer.isUsable && peer !in excluded }
        ?.second

    private companion object {
        const val OK = 200
        val RELEASE_BATCH_DELAY = 5.milliseconds
    }
}
