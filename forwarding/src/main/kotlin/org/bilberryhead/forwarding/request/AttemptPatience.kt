package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.ServingRoute
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** How long an endpoint may be silent before another one takes over a request that may be repeated. */
internal object AttemptPatience {
    /** Whether [attempt] has been silent for too long. */
    fun isOver(route: ServingRoute, attempt: Attempt, now: Instant): Boolean {
        val expected = attempt.expectedFirstEvent
        val patience = when {
            attempt.hasEvents -> maxOf(route.maximumEventGap ?: Duration.ZERO, SHORTEST_PAUSE) * PAUSES
            expected != null -> maxOf(expected * EXPECTED_TIMES, route.objective)
            else -> route.objective
        }
        return now - attempt.lastEventAt > patience
    }

    private const val PAUSES = 3
    private const val EXPECTED_TIMES = 4
    private val SHORTEST_PAUSE = 300.milliseconds
}
