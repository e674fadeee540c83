package org.bilberryhead.core.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Decides which requests a process may still send to endpoints while it drains, so that the end of the drain cuts none.
 *
 * A request may be sent when the longest time that it may take ends before the drain does. In the first part of the
 * drain, one that may be repeated may also be sent when the time that it usually takes does, as otherwise a short
 * drain would refuse all streams from its start on. Other requests are better sent by another process.
 *
 * @param startedAt when the drain started
 * @param endsAt when the process ends what is unfinished
 */
class DrainAdmission(private val startedAt: Instant, private val endsAt: Instant) {
    /**
     * Returns whether a request of [route] may be sent to an endpoint at [now].
     *
     * @param deadline when the request ends at the latest: the earlier of its caller's deadline and the route's timeout
     * @param hasBegun whether the caller has received part of the response; such a request cannot be refused any more,
     *   and is cut if it is not sent
     */
    fun maySend(route: ServingRoute, deadline: Instant, hasBegun: Boolean, now: Instant): Boolean =
        hasBegun || deadline < endsAt || mayBeEstimated(route, now) && now + usualDuration(route) < endsAt

    private fun mayBeEstimated(route: ServingRoute, now: Instant): Boolean =
        route.repeatRule.mayRepeat && now < startedAt + (endsAt - startedAt) / ESTIMATE_DIVISOR

    private fun usualDuration(route: ServingRoute): Duration =
        if (route.repeatRule.isStream) USUAL_STREAM_DURATION else route.objective * OBJECTIVE_FACTOR

    private companion object {
        /**
         * What is sent by its usual time is sent in this fraction of the drain, so that twice as long remains for it.
         */
        const val ESTIMATE_DIVISOR = 3

        /** A request that is not a stream usually finishes within this multiple of the objective of its route. */
        const val OBJECTIVE_FACTOR = 3

        /** Usual time of a long stream, including its preparation stages. */
        val USUAL_STREAM_DURATION = 5.seconds
    }
}
