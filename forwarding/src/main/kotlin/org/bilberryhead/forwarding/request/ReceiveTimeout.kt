package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.ServingRoute
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Decides when an endpoint has sent nothing for so long that a repeatable request is sent to another one. */
internal object ReceiveTimeout {
    /**
     * Returns whether [attempt] has received nothing for longer than its timeout. After the first event the timeout is
     * a multiple of the route's maximum event gap. Before it, the timeout is a multiple of the expected time to the
     * first event, but at least the route's objective. For endpoints without an engine it is the objective.
     */
    fun isExceeded(route: ServingRoute, attempt: Attempt, now: Instant): Boolean {
        if (attempt.isPaused) return false
        val expected = attempt.expectedTimeToFirstEvent
        val timeout = when {
            attempt.hasReceivedEvent ->
                maxOf(route.maximumEventGap ?: Duration.ZERO, MINIMUM_EVENT_GAP) * EVENT_GAP_FACTOR

            expected != null -> maxOf(expected * EXPECTED_TIME_FACTOR, route.objective)
            else -> route.objective
        }
        return now - attempt.lastEventAt > timeout
    }

    private const val EVENT_GAP_FACTOR = 3
    private const val EXPECTED_TIME_FACTOR = 4
    private val MINIMUM_EVENT_GAP = 300.milliseconds
}
