package org.bilberryhead.core.gate

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.message.Dispatch
import kotlin.time.Instant

/**
 * An attempt that waits for the endpoint.
 *
 * @property deadline when the answer is of no more use
 */
data class QueuedAttempt(val dispatch: Dispatch, val deadline: Instant)

/** Bounded queue of one endpoint, earliest deadline first. Not safe for use by several threads. */
class SidecarQueue(private val capacity: Int) {
    private val waiting = sortedSetOf<QueuedAttempt>(compareBy({ it.deadline }, { it.dispatch.attempt.value }))

    /** Number of waiting attempts. */
    val size: Int get() = waiting.size

    /** Whether no further attempt fits. */
    val isFull: Boolean get() = waiting.size >= capacity

    /** Adds [attempt]; the caller has checked that it fits. */
    fun add(attempt: QueuedAttempt) {
        check(!isFull) { "the queue is full" }
        waiting += attempt
    }

    /** Removes and returns the attempt with the earliest deadline, or null when none waits. */
    fun poll(): QueuedAttempt? = waiting.pollFirst()

    /** Removes [attempt] and returns whether it was waiting. */
    fun remove(attempt: AttemptId): Boolean = waiting.removeIf { it.dispatch.attempt == attempt }

    /** Removes and returns every attempt whose deadline is not after [now]. */
    fun removeExpired(now: Instant): List<QueuedAttempt> {
        val expired = waiting.takeWhile { it.deadline <= now }
        waiting.removeAll(expired.toSet())
        return expired
    }
}
