package org.bilberryhead.core.serving

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.RequestId
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Where the result of a piece lies. */
@JvmInline
value class ResultHandle(val value: String) {
    override fun toString(): String = value
}

/**
 * One piece of a preparation stage.
 *
 * @property key what the piece is made from when the stage follows no other
 * @property inputs results that the piece is made from, in order
 * @property latestStart when its call must begin for the request to meet its objective
 * @property latestUsefulStart when its call must have begun for the request to be served at all
 * @property resultBytes approximate size of the result
 * @property preferredDataCentre where its inputs lie, or where its result will be read; null without a preference
 * @property readers pieces of the request that read the same inputs, this one too; 0 when others may read them as well
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
 * Pieces that wait for a call to an endpoint of one pool.
 *
 * Load that this answers: bursts of one kind of request on a pool that is fast only in full batches. Pieces whose
 * request can still meet its objective go first, in the order in which they must start, with a head start for the more
 * urgent; the pieces of one request stay together. Late ones are still made. A piece waits a little for an endpoint in
 * the data centre that it prefers.
 */
class PieceQueue {
    private class Waiting(val piece: StagePiece, val since: Instant)

    private val waiting = mutableListOf<Waiting>()
    private val lateTaken = ArrayDeque<Instant>()

    /** Pieces that wait. */
    val size: Int get() = waiting.size

    /** Adds [pieces] of one request. */
    fun add(pieces: List<StagePiece>, now: Instant) {
        pieces.forEach { waiting += Waiting(it, now) }
    }

    /** Drops the pieces of a request that needs none any more. */
    fun drop(request: RequestId) {
        waiting.removeAll { it.piece.request == request }
    }

    /**
     * Takes out the pieces that will not be of use any more when their turn comes. Late pieces get only what the others
     * leave, so that their turn is judged by how many late ones went lately.
     *
     * @param perSecond pieces that the pool makes in a second
     */
    fun takeUnservable(now: Instant, perSecond: Double): List<StagePiece> {
        val latePerSecond = max(lateRate(now), perSecond * LEAST_LATE_PART)
        var ahead = Duration.ZERO
        val hopeless = waiting.sortedBy { rank(it.piece, now) }.filterTo(mutableSetOf()) {
            val useful = it.piece.latestUsefulStart - now
            val isHopeless = useful <= Duration.ZERO || ahead > useful + TURN_SLACK
            if (!isHopeless) ahead += 1.seconds / (if (now > it.piece.latestStart) latePerSecond else perSecond)
            isHopeless
        }
        if (hopeless.isNotEmpty()) waiting.removeAll(hopeless)
        return hopeless.map { it.piece }
    }

    private fun lateRate(now: Instant): Double {
        while (lateTaken.isNotEmpty() && lateTaken.first() + LATE_WINDOW < now) lateTaken.removeFirst()
        return lateTaken.size / LATE_WINDOW.toDouble(DurationUnit.SECONDS)
    }

    /** Takes out everything. */
    fun takeAll(): List<StagePiece> = waiting.map { it.piece }.also { waiting.clear() }

    /** The piece that goes first, or null when nothing waits. */
    fun first(now: Instant): StagePiece? = waiting.minByOrNull { rank(it.piece, now) }?.piece

    /** Bytes of the results of the request that goes first; 0 when nothing waits. */
    fun firstResultBytes(now: Instant): Long {
        return bytesOf(first(now) ?: return 0)
    }

    private fun bytesOf(piece: StagePiece): Long =
        waiting.sumOf { if (it.piece.request == piece.request) it.piece.resultBytes else 0L }

    /**
     * Takes out the pieces of the next call. The pieces of a request go together, so that none of its results waits
     * long for the others; a request that does not fit by itself is divided.
     *
     * @param most most pieces in the call
     * @param freeBytes room for their results
     * @param at where the endpoint is
     * @param smallBytes most bytes of the results of one request, beyond which it is passed over; null without a limit
     */
    fun takeBatch(
        now: Instant,
        most: Int,
        freeBytes: Long,
        at: DataCentre,
        smallBytes: Long? = null,
    ): List<StagePiece> {
        val eligible = waiting
            .filter { it.piece.prefers(at) || now - it.since >= PREFERENCE_WAIT }
            .map { it.piece }
            .filter { smallBytes == null || bytesOf(it) <= smallBytes }
            .sortedWith(compareBy({ rank(it, now, at) }, { it.request.value }))
        val batch = wholeRequests(eligible, most, freeBytes).ifEmpty { partOfFirst(eligible, most, freeBytes) }.toSet()
        waiting.removeAll { it.piece in batch }
        batch.forEach { if (now > it.latestStart) lateTaken.addLast(now) }
        return batch.toList()
    }

    private fun wholeRequests(eligible: List<StagePiece>, most: Int, freeBytes: Long): List<StagePiece> {
        val batch = mutableListOf<StagePiece>()
        var room = freeBytes
        for ((_, pieces) in eligible.groupBy { it.request to it.stage }) {
            val bytes = pieces.sumOf { it.resultBytes }
            if (batch.size + pieces.size > most || bytes > room) continue
            batch += pieces
            room -= bytes
        }
        return batch
    }

    private fun partOfFirst(eligible: List<StagePiece>, most: Int, freeBytes: Long): List<StagePiece> {
        val first = eligible.firstOrNull() ?: return emptyList()
        val fitting = (freeBytes / first.resultBytes.coerceAtLeast(1)).coerceIn(1, most.toLong()).toInt()
        return eligible.takeWhile { it.request == first.request && it.stage == first.stage }.take(fitting)
    }

    private fun rank(piece: StagePiece, now: Instant, at: DataCentre? = null): Instant {
        val lateness = if (now > piece.latestStart) LATE_DELAY else Duration.ZERO
        val distance = if (at == null || piece.prefers(at)) Duration.ZERO else DISTANCE_DELAY
        return piece.latestStart + PRIORITY_STEP * piece.priority + lateness + distance
    }

    private fun StagePiece.prefers(place: DataCentre): Boolean =
        preferredDataCentre == null || preferredDataCentre == place

    private companion object {
        val PRIORITY_STEP = 800.milliseconds
        val LATE_DELAY = 6.seconds
        val DISTANCE_DELAY = 600.milliseconds
        val LATE_WINDOW = 1.seconds

        /** Part of the pool's rate that late pieces are taken to have when none went lately. */
        const val LEAST_LATE_PART = 0.15
        val TURN_SLACK = 500.milliseconds
        val PREFERENCE_WAIT = 150.milliseconds
    }
}
