package org.bilberryhead.core.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How long callers of a stream wait for its next event, also for the first, before they leave. */
object CallerWaitLimit {
    /** Returns the patience of the callers of [route]: the longest of three bounds that the platform states. */
    fun of(route: ServingRoute): Duration = if (route.repeatRule.isStream) {
        maxOf(SHORTEST, route.objective * OBJECTIVES, (route.maximumEventGap ?: Duration.ZERO) * PAUSES)
    } else {
        route.timeout
    }

    private val SHORTEST = 2.seconds
    private const val OBJECTIVES = 4
    private const val PAUSES = 8
}
