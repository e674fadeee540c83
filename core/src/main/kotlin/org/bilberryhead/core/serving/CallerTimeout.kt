package org.bilberryhead.core.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** How long callers wait for the next event of a stream, or for the response to any other request. */
object CallerTimeout {
    /**
     * Returns how long the callers of [route] wait. The timeout of streams is the longest of three bounds that the
     * platform documents.
     */
    fun of(route: ServingRoute): Duration = if (route.repeatRule.isStream) {
        maxOf(MINIMUM, route.objective * OBJECTIVE_FACTOR, (route.maximumEventGap ?: Duration.ZERO) * EVENT_GAP_FACTOR)
    } else {
        route.timeout
    }

    /**
     * Returns when the caller of a request of [route] disconnects unless it receives something before.
     *
     * @param receivedAt when the request arrived
     * @param lastEventAt when the caller was sent the last event of its stream; null before the first one
     */
    fun endsAt(route: ServingRoute, receivedAt: Instant, lastEventAt: Instant?): Instant =
        (lastEventAt ?: receivedAt) + of(route)

    private val MINIMUM = 2.seconds
    private const val OBJECTIVE_FACTOR = 4
    private const val EVENT_GAP_FACTOR = 8
}
