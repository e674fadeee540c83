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
 * @property objectiveAt when the answer of the request should have begun
 * @property resultBytes approximate size of the result
 */
data class StagePiece(
    val request: RequestId,
    val stage: Int,
    val index: Int,
    val key: String?,
    val inputs: List<ResultHandle>,
    val priority: Int,
    val objectiveAt: Instant,
    val deadline: Instant,
    val resultBytes: Long,
)

/**
 * Pieces that wait for a call to an endpoint of one pool.
 *
 * Load that this answers: bursts of one kind of request on a pool that is fast only in full batches. Pieces whose request
 * can still meet its objective go first, in the order of their objectives with a head start for the more urgent; the
 * pieces of one request stay together. Late ones are still made.
 *
 * @param timeAfterPiece least time from the start of a call until the answer of the request begins
 */
class PieceQueue(private val batchSize: Int, private val timeAfterPiece: Duration) {
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

    /** Takes out the pieces of the next call. */
    fun takeBatch(now: Instant): List<StagePiece> {
        if (waiting.size > batchSize) waiting.sortWith(compareBy({ rank(it, now) }, { it.request.value }))
        val batch = waiting.take(batchSize)
        waiting.subList(0, batch.size).clear()
        return batch
    }

    private fun rank(piece: StagePiece, now: Instant): Instant {
        val lateness = if (now + timeAfterPiece > piece.objectiveAt) LATE_DELAY else Duration.ZERO
        return piece.objectiveAt + PRIORITY_STEP * piece.priority + lateness
    }

    private companion object {
        val PRIORITY_STEP = 250.milliseconds
        val LATE_DELAY = 6.seconds
    }
}
