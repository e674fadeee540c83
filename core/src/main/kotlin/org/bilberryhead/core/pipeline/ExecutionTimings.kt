package org.bilberryhead.core.pipeline

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Timings and limits of a [RequestExecution].
 *
 * @property cancelMargin how long before the deadline attempts that still wait are withdrawn, so that an answer can
 *   tell that they did not run; at most a quarter of the time that the request has
 * @property queryInterval how often an unanswered query is repeated
 * @property maximumFreeRetries retries a stage may make outside the retry budget, after refusals that cost no endpoint
 * @property maximumMoves how many recorded moves of a ticket are followed
 */
data class ExecutionTimings(
    val cancelMargin: Duration = 100.milliseconds,
    val queryInterval: Duration = 200.milliseconds,
    val maximumFreeRetries: Int = 3,
    val maximumMoves: Int = 8,
) {
    /** Returns the cancel margin of a request that has [remaining] time. */
    fun marginWithin(remaining: Duration): Duration = minOf(cancelMargin, remaining / MARGIN_DIVISOR)

    private companion object {
        /** The cancel margin is at most this part of the time that a request has. */
        const val MARGIN_DIVISOR = 4
    }
}
