package org.bilberryhead.core.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decides after which silence of its endpoint a repeatable request is sent to another endpoint. */
object ReceiveTimeout {
    /**
     * Returns the longest time to wait for the first event of a stream, or for the response to any other request: a
     * multiple of [expected], but at least the objective of [route].
     *
     * @param expected expected time to the first event; null when the endpoint is not an engine
     */
    fun beforeFirstEvent(route: ServingRoute, expected: Duration?): Duration =
        if (expected == null) route.objective else maxOf(expected * EXPECTED_TIME_FACTOR, route.objective)

    /**
     * Returns the longest time to wait for the next event of a stream of [route] that has begun. Its caller has part of
     * the response, which is lost when no other endpoint resumes it. So the endpoint gets half of the time that the
     * caller waits, but at least the longest silence of a sound endpoint; what is left is for another endpoint.
     *
     * @param remaining time from the last event to the deadline of the request
     */
    fun betweenEvents(route: ServingRoute, remaining: Duration): Duration =
        maxOf(LONGEST_SOUND_SILENCE, minOf(CallerTimeout.of(route), remaining) / 2)

    private const val EXPECTED_TIME_FACTOR = 4

    /** A sound endpoint may pause for about a second. */
    private val LONGEST_SOUND_SILENCE = 2.seconds
}
