package org.bilberryhead.core.serving

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.RequestId
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Reference to the result of a piece, which the endpoint that computed it keeps in memory. */
@JvmInline
value class ResultHandle(val value: String) {
    override fun toString(): String = value
}

/**
 * One piece of a preparation stage: a unit of work that is batched with others into a call to an endpoint.
 *
 * @property key input of the piece when its stage reads no results of other stages
 * @property inputs results that the piece reads, in order
 * @property latestStart when its call must start at the latest for the request to meet its objective
 * @property latestUsefulStart when its call must start at the latest for the response to reach the caller before
 *   the caller disconnects
 * @property resultBytes approximate size of the result
 * @property preferredDataCentre where its inputs are, or where its result will be read; null without a preference
 * @property readers number of pieces of the request that read the same inputs, including this one; 0 when pieces of
 *   other stages may read them as well
 */
data class StagePiece(
    val request: RequestId,
    val stage: Int,
    val index: Int,
    val key: String?,
    val inputs: List<ResultHandle>,
    val priority: Int,
    val latestStart: Instant,
    val deadline: Instant,
    val latestUsefulStart: Instant,
    val resultBytes: Long,
    val preferredDataCentre: DataCentre? = null,
    val readers: Int = 0,
)

/**
 * Queue of the pieces that wait for a call to an endpoint of one pool.
 *
 * Designed for bursts of one kind of request on a pool that is fast only with full batches. Pieces whose request can
 * still meet its objective come first, sorted by the time at which they must start, which priorities shift. Late pieces
 * follow. The pieces of one request stay together. A piece waits for a short time for an endpoint in its preferred data
 * centre.
 */
class PieceQueue {
    private class Waiting(val piece: StagePiece, val addedAt: Instant)

    private val waiting = mutableListOf<Waiting>()
    private val lateStarts = ArrayDeque<Instant>()

    /** Number of pieces in the queue. */
    val size: Int get() = waiting.size

    /** Whether [piece] waits. */
    operator fun contains(piece: StagePiece): Boolean = waiting.any { it.piece == piece }

    /** Adds [pieces] of one request. */
    fun add(pieces: List<StagePiece>, now: Instant) {
        pieces.forEach { waiting += Waiting(it, now) }
    }

    /** Removes those of [pieces] that wait. */
    fun drop(pieces: Set<StagePiece>) {
        waiting.removeAll { it.piece in pieces }
    }

    /** Removes the pieces of a request that has ended. */
    fun drop(request: RequestId) {
        waiting.removeAll { it.piece.request == request }
    }

    /**
     * Removes and returns the pieces that could not start by their [StagePiece.latestUsefulStart]. Late pieces use only
     * the capacity that the others leave, so their waiting time is estimated from the recent rate of late pieces.
     *
     * @param perSecond pieces that the pool completes in a second
     */
    fun takeUnservable(now: Instant, perSecond: Double): List<StagePiece> {
        val latePerSecond = max(lateRate(now), perSecond * MINIMUM_LATE_SHARE)
        var waitingTime = Duration.ZERO
        val unservable = waiting.sortedBy { sortTime(it.piece, now) }.filterTo(mutableSetOf()) {
            val usefulTime = it.piece.latestUsefulStart - now
            val isUnservable = usefulTime <= Duration.ZERO || waitingTime > usefulTime + WAITING_TIME_TOLERANCE
            if (!isUnservable) waitingTime += 1.seconds / (if (now > it.piece.latestStart) latePerSecond else perSecond)
            isUnservable
        }
        if (unservable.isNotEmpty()) waiting.removeAll(unservable)
        return unservable.map { it.piece }
    }

    private fun lateRate(now: Instant): Double {
        while (lateStarts.isNotEmpty() && lateStarts.first() + LATE_WINDOW < now) lateStarts.removeFirst()
        return lateStarts.size / LATE_WINDOW.toDouble(DurationUnit.SECONDS)
    }

    /** Removes and returns all pieces. */
    fun takeAll(): List<StagePiece> = waiting.map { it.piece }.also { waiting.clear() }

    /** The piece that is sent next, or null when the queue is empty. */
    fun first(now: Instant): StagePiece? = waiting.minByOrNull { sortTime(it.piece, now) }?.piece

    /** Total size of the results of the request that is sent next; 0 when the queue is empty. */
    fun firstResultBytes(now: Instant): Long {
        return bytesOf(first(now) ?: return 0)
    }

    private fun bytesOf(piece: StagePiece): Long =
        waiting.sumOf { if (it.piece.request == piece.request) it.piece.resultBytes else 0L }

    /**
     * Removes and returns the pieces of the next call. The pieces of a request stay together, so that none of its
     * results takes memory for long while it waits for the others. A request that does not fit into an empty call is
     * divided.
     *
     * @param maximumPieces maximum number of pieces in the call
     * @param freeBytes free memory of the endpoint for results
     * @param endpointDataCentre data centre of the endpoint
     * @param maximumRequestBytes maximum size of the results of one request, or null for no maximum; larger requests
     *   are skipped
     */
    fun takeBatch(
        now: Instant,
        maximumPieces: Int,
        freeBytes: Long,
        endpointDataCentre: DataCentre,
        maximumRequestBytes: Long? = null,
    ): List<StagePiece> {
        val eligible = waiting
            .filter { it.piece.prefers(endpointDataCentre) || now - it.addedAt >= PREFERENCE_WAIT }
            .map { it.piece }
            .filter { maximumRequestBytes == null || bytesOf(it) <= maximumRequestBytes }
            .sortedWith(compareBy({ sortTime(it, now, endpointDataCentre) }, { it.request.value }))
        val batch = completeRequests(eligible, maximumPieces, freeBytes)
            .ifEmpty { partOfFirstRequest(eligible, maximumPieces, freeBytes) }
            .toSet()
        waiting.removeAll { it.piece in batch }
        batch.forEach { if (now > it.latestStart) lateStarts.addLast(now) }
        return batch.toList()
    }

    private fun completeRequests(eligible: List<StagePiece>, maximumPieces: Int, freeBytes: Long): List<StagePiece> {
        val batch = mutableListOf<StagePiece>()
        var remainingBytes = freeBytes
        for ((_, pieces) in eligible.groupBy { it.request to it.stage }) {
            val bytes = pieces.sumOf { it.resultBytes }
            if (batch.size + pieces.size > maximumPieces || bytes > remainingBytes) continue
            batch += pieces
            remainingBytes -= bytes
        }
        return batch
    }

    private fun partOfFirstRequest(eligible: List<StagePiece>, maximumPieces: Int, freeBytes: Long): List<StagePiece> {
        val first = eligible.firstOrNull() ?: return emptyList()
        val fitting = (freeBytes / first.resultBytes.coerceAtLeast(1)).coerceIn(1, maximumPieces.toLong()).toInt()
        return eligible.takeWhile { it.request == first.request && it.stage == first.stage }.take(fitting)
    }

    private fun sortTime(piece: StagePiece, now: Instant, endpointDataCentre: DataCentre? = null): Instant {
        val latePenalty = if (now > piece.latestStart) LATE_PENALTY else Duration.ZERO
        val remotePenalty =
            if (endpointDataCentre == null || piece.prefers(endpointDataCentre)) Duration.ZERO else REMOTE_PENALTY
        return piece.latestStart + PRIORITY_STEP * piece.priority + latePenalty + remotePenalty
    }

    private fun StagePiece.prefers(dataCentre: DataCentre): Boolean =
        preferredDataCentre == null || preferredDataCentre == dataCentre

    private companion object {
        val PRIORITY_STEP = 800.milliseconds
        val LATE_PENALTY = 6.seconds
        val REMOTE_PENALTY = 600.milliseconds
        val LATE_WINDOW = 1.seconds

        /** Smallest share of the rate of the pool that late pieces are assumed to get. */
        const val MINIMUM_LATE_SHARE = 0.15
        val WAITING_TIME_TOLERANCE = 500.milliseconds
        val PREFERENCE_WAIT = 150.milliseconds
    }
}
