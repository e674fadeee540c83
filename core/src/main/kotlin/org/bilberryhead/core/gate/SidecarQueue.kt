package org.bilberryhead.core.gate

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.message.Dispatch
import java.util.TreeSet
import kotlin.time.Instant

/**
 * An attempt in the queue of an endpoint.
 *
 * @property deadline when the caller stops waiting for the response
 * @property rank priority; attempts with a lower rank start first
 */
data class QueuedAttempt(val dispatch: Dispatch, val deadline: Instant, val rank: Int = 0)

/**
 * Bounded priority queue of one endpoint, ordered by rank and then by deadline, earliest first. Not thread-safe.
 */
class SidecarQueue(val capacity: Int) {
    private val waiting = TreeSet(StartOrder)

    /** Number of waiting attempts. */
    val size: Int get() = waiting.size

    /** Whether the queue holds [capacity] attempts. */
    val isFull: Boolean get() = waiting.size >= capacity

    /**
     * Adds [attempt].
     *
     * @throws IllegalStateException if the queue is full
     */
    fun add(attempt: QueuedAttempt) {
        check(!isFull) { "the queue is full" }
        waiting += attempt
    }

    /** Returns the number of waiting attempts that would start before a new one with [rank] and [deadline]. */
    fun countAhead(rank: Int, deadline: Instant): Int =
        waiting.count { it.rank < rank || (it.rank == rank && it.deadline <= deadline) }

    /** Removes and returns the attempt that starts next, or null when the queue is empty. */
    fun poll(): QueuedAttempt? = waiting.pollFirst()

    /** Removes [attempt] and returns whether it was waiting. */
    fun remove(attempt: AttemptId): Boolean = waiting.removeIf { it.dispatch.attempt == attempt }

    /** Removes and returns the attempts that cannot meet their deadline: their [latestStart] is not after [now]. */
    fun removeOverdue(now: Instant, latestStart: (Instant) -> Instant): List<QueuedAttempt> {
        val overdue = waiting.filter { latestStart(it.deadline) <= now }
        waiting.removeAll(overdue.toSet())
        return overdue
    }

    /** Compares without boxing, because each event of a busy gate causes many comparisons. */
    private object StartOrder : Comparator<QueuedAttempt> {
        override fun compare(first: QueuedAttempt, second: QueuedAttempt): Int {
            if (first.rank != second.rank) return first.rank.compareTo(second.rank)
            val byDeadline = first.deadline.compareTo(second.deadline)
            if (byDeadline != 0) return byDeadline
            return first.dispatch.attempt.value.compareTo(second.dispatch.attempt.value)
        }
    }
}
