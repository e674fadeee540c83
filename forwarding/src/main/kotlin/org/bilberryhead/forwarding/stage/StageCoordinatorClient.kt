package org.bilberryhead.forwarding.stage

import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.core.serving.PieceResubmission
import org.bilberryhead.core.serving.ResubmissionDecision
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.SharedRetryBudget
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
 * Submits the pieces of one pool to the entry that coordinates it, which may be this one. When the coordinator does not
 * respond, they go to the next entry as far as the retry budget allows it; the others wait for the coordinator.
 *
 * @param local the scheduler of this entry for the pool
 */
internal class StageCoordinatorClient(
    private val pool: PoolName,
    private val local: StageScheduler,
    private val coordinators: Coordinators,
    retryBudget: SharedRetryBudget,
    private val thread: EventThread,
    private val isDraining: () -> Boolean,
) {
    private val resubmission = PieceResubmission(pool, retryBudget)
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
        Submission(pieces, peer, excluded, onOutcome).start()
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

    /** Pieces of one request that were submitted to [peer]. */
    private inner class Submission(
        private val pieces: List<StagePiece>,
        private val peer: PeerClient,
        private val excluded: Set<PeerClient>,
        private val onOutcome: (StagePiece, PieceCallOutcome) -> Unit,
    ) {
        private val request = pieces.first().request
        private val usefulUntil = pieces.minOf { it.latestUsefulStart } + expectedCallTime
        private var decision = ResubmissionDecision.WAIT
        private var exchange: PeerExchange? = null

        fun start() {
            val now = thread.now()
            val message = PiecesMessage(pool, pieces.map { PieceMessage.of(it, now) })
            val body = PeerCodec.encode(PiecesMessage.serializer(), message)
            val started = peer.call(PeerPaths.PIECES, body, ::isAbandoned, ::ended)
            exchange = started
            pendingExchanges.getOrPut(request) { mutableSetOf() } += started
        }

        private fun isAbandoned(): Boolean {
            decision = resubmission.afterSilence(pieces.size, usefulUntil, thread.now())
            return decision != ResubmissionDecision.WAIT
        }

        private fun ended(exchangeOutcome: ExchangeOutcome) {
            exchange?.let { pendingExchanges[request]?.remove(it) }
            val outcomes = outcomesOf(exchangeOutcome)
            if (outcomes != null) return deliver(outcomes)
            peer.markUnavailable()
            when (decision) {
                ResubmissionDecision.RESUBMIT -> resubmit()
                ResubmissionDecision.FAIL -> failAll(PieceCallOutcome.DeadlineUnreachable(Duration.ZERO))
                ResubmissionDecision.WAIT -> handleLoss(exchangeOutcome)
            }
        }

        private fun handleLoss(exchangeOutcome: ExchangeOutcome) {
            val mayHaveStarted = when (exchangeOutcome) {
                is ExchangeOutcome.Completed -> exchangeOutcome.response.head.status == OK
                is ExchangeOutcome.NotSent -> false
                is ExchangeOutcome.Unknown -> true
            }
            val decisionAfterLoss = resubmission.afterLoss(pieces.size, mayHaveStarted, thread.now())
            if (decisionAfterLoss == ResubmissionDecision.RESUBMIT) return resubmit()
            failAll(PieceCallOutcome.CallFailed("the coordinator was lost"))
        }

        private fun resubmit() = submit(pieces, excluded + peer, onOutcome)

        private fun failAll(outcome: PieceCallOutcome) = pieces.forEach { onOutcome(it, outcome) }

        private fun outcomesOf(exchangeOutcome: ExchangeOutcome): PieceOutcomesMessage? =
            (exchangeOutcome as? ExchangeOutcome.Completed)?.response
                ?.takeIf { it.head.status == OK }
                ?.let { PeerCodec.decode(PieceOutcomesMessage.serializer(), it.body) }

        private fun deliver(message: PieceOutcomesMessage) {
            val ends = message.ends.associateBy { it.stage to it.index }
            val outcomes = pieces.associateWith {
                ends[it.stage to it.index]?.toCallOutcome()
                    ?: PieceCallOutcome.CallFailed("the coordinator left it out")
            }
            val handedOver = outcomes.filterValues { it is PieceCallOutcome.CallFailed && it.isHandedOver }.keys
            // Comes first, so that an outcome that ends the request cancels these pieces too.
            if (handedOver.isNotEmpty()) submitElsewhere(handedOver.toList())
            outcomes.filterKeys { it !in handedOver }.forEach { (piece, outcome) -> onOutcome(piece, outcome) }
        }

        /** A draining coordinator has not called [handedOver], so that they take no retry. */
        private fun submitElsewhere(handedOver: List<StagePiece>) {
            peer.markUnavailable()
            submit(handedOver, excluded + peer, onOutcome)
        }
    }

    private companion object {
        const val OK = 200
        val RELEASE_BATCH_DELAY = 5.milliseconds
    }
}
