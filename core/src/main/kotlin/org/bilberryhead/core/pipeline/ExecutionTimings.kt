package org.bilberryhead.core.pipeline

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Timings and limits of a [RequestExecution].
 *
 * @property cancelMargin how long before the deadline queued attempts are cancelled, so that the caller can still be
 *   informed that they did not run; at most a quarter of the request's remaining time
 * @property queryInterval time after which an unanswered status request is repeated
 * @property maximumFreeRetries retries per stage, after attempts that did not run, that are not charged to the retry
 *   budget, because they cost the endpoint no work
 * @property maximumMoves number of recorded moves of a ticket that are followed before the request ends
 */
data class ExecutionTimings(
    val cancelMargin: Duration = 100.milliseconds,
    val queryInterval: Duration = 200.milliseconds,
    val maximumFreeRetries: Int = 3,
    val maximumMoves: Int = 8,
) {
    /** Returns the cancel margin for a request with [remaining] time until its deadline. */
    fun cancelMarginFor(remaining: Duration): Duration = minOf(cancelMargin, remaining / MARGIN_DIVISOR)

    private companion object {
        /** The cancel margin is at most the remaining time divided by this number. */
        const val MARGIN_DIVISOR = 4
    }
}
