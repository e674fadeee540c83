package org.bilberryhead.core.gate

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.message.Dispatch
import kotlin.time.Instant

/**
 * An attempt that waits for the endpoint.
 *
 * @property deadline when the answer is of no more use
 * @property rank attempts of a lower rank start first
 */
data class QueuedAttempt(val dispatch: Dispatch, val deadline: Instant, val rank: Int = 0)

/**
 * Bounded queue of one endpoint: by rank, and within a rank the earliest deadline first. Not safe for use by several
 * threads.
 */
class SidecarQueue(val capacity: Int) {
    private val waiting =
        sortedSetOf<QueuedAttempt>(compareBy({ it.rank }, { it.deadline }, { it.dispatch.attempt.value }))

    /** Number of waiting attempts. */
    val size: Int get() = waiting.size

    /** Whether no further attempt fits. */
    val isFull: Boolean get() = waiting.size >= capacity

    /** Adds [attempt]; the caller has checked that it fits. */
    fun add(attempt: QueuedAttempt) {
        check(!isFull) { "the queue is full" }
        waiting += attempt
    }

    /** Returns the number of waiting attempts that would start before one of [rank] that is due at [deadline]. */
    fun countAhead(rank: Int, deadline: Instant): Int =
        waiting.count { it.rank < rank || (it.rank == rank && it.deadline <= deadline) }

    /** Removes and returns the attempt that is to start next, or null when none waits. */
    fun poll(): QueuedAttempt? = waiting.pollFirst()

    /** Removes [attempt] and returns whether it was waiting. */
    fun remove(attempt: AttemptId): Boolean = waiting.removeIf { it.dispatch.attempt == attempt }

    /** Removes and returns every attempt whose [latestStart] is not after [now]. */
    fun removeHopeless(now: Instant, latestStart: (Instant) -> Instant): List<QueuedAttempt> {
        val hopeless = waiting.filter { latestStart(it.deadline) <= now }
        waiting.removeAll(hopeless.toSet())
        return hopeless
    }
}
