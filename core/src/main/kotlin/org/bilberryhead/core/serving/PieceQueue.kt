package org.bilberryhead.core.serving

import org.bilberryhead.core.common.RequestId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
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
 * @property resultBytes approximate size of the result
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
    val resultBytes: Long,
)

/**
 * Pieces that wait for a call to an endpoint of one pool.
 *
 * Load that this answers: bursts of one kind of request on a pool that is fast only in full batches. Pieces whose request
 * can still meet its objective go first, in the order in which they must start, with a head start for the more urgent; the
 * pieces of one request stay together. Late ones are still made.
 */
class PieceQueue(private val batchSize: Int) {
    private val waiting = mutableListOf<StagePiece>()

    /** Pieces that wait. */
    val size: Int get() = waiting.size

    /** Adds [pieces] of one request. */
    fun add(pieces: List<StagePiece>) {
        waiting += pieces
    }

    /** Drops the pieces of a request that needs none any more. */
    fun drop(request: RequestId) {
        waiting.removeAll { it.request == request }
    }

    /** Takes out the pieces whose deadline has passed. */
    fun takeExpired(now: Instant): List<StagePiece> {
        val expired = waiting.filter { it.deadline <= now }
        if (expired.isNotEmpty()) waiting.removeAll(expired.toSet())
        return expired
    }

    /** Bytes of the results of the request that goes first; 0 when nothing waits. */
    fun firstResultBytes(now: Instant): Long {
        val first = waiting.minByOrNull { rank(it, now) } ?: return 0
        return waiting.sumOf { if (it.request == first.request) it.resultBytes else 0L }
    }

    /**
     * Takes out the pieces of the next call. The pieces of a request go together, so that none of its results waits long
     * for the others; a request that does not fit by itself is divided.
     *
     * @param roomBytes room for their results
     */
    fun takeBatch(now: Instant, roomBytes: Long): List<StagePiece> {
        waiting.sortWith(compareBy({ rank(it, now) }, { it.request.value }))
        val batch = mutableListOf<StagePiece>()
        var room = roomBytes
        for ((_, pieces) in waiting.groupBy { it.request to it.stage }) {
            val bytes = pieces.sumOf { it.resultBytes }
            if (batch.size + pieces.size > batchSize || bytes > room) continue
            batch += pieces
            room -= bytes
        }
        if (batch.isEmpty()) batch += partOfFirst(roomBytes)
        waiting.removeAll(batch.toSet())
        return batch
    }

    private fun partOfFirst(roomBytes: Long): List<StagePiece> {
        val first = waiting.firstOrNull() ?: return emptyList()
        val fitting = (roomBytes / first.resultBytes.coerceAtLeast(1)).coerceIn(1, batchSize.toLong()).toInt()
        return waiting.takeWhile { it.request == first.request && it.stage == first.stage }.take(fitting)
    }

    private fun rank(piece: StagePiece, now: Instant): Instant {
        val lateness = if (now > piece.latestStart) LATE_DELAY else Duration.ZERO
        return piece.latestStart + PRIORITY_STEP * piece.priority + lateness
    }

    private companion object {
        val PRIORITY_STEP = 250.milliseconds
        val LATE_DELAY = 6.seconds
    }
}
