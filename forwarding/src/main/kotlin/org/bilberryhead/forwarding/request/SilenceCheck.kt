package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.ReceiveTimeout
import org.bilberryhead.forwarding.Timer
import org.bilberryhead.forwarding.endpoint.Endpoint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Checks at intervals whether an attempt of [request] is silent for so long that another endpoint takes over.
 *
 * @param tried endpoints that do not take over
 * @param hasBegun whether the caller has received part of a stream
 * @param tooSilent called while the attempt has exceeded its receive timeout and an endpoint is free that was not
 *   tried; while there is none, a slow endpoint is better than none
 */
internal class SilenceCheck(
    private val request: AdmittedRequest,
    private val context: ServingContext,
    private val tried: Set<Endpoint>,
    private val hasBegun: () -> Boolean,
    private val tooSilent: (Attempt) -> Unit,
) {
    private var timer: Timer? = null

    /** Checks [attempt] until [stop] is called. */
    fun start(attempt: Attempt) {
        timer?.cancel()
        timer = context.thread.after(CHECK_INTERVAL) {
            start(attempt)
            if (isTooSilent(attempt)) tooSilent(attempt)
        }
    }

    /** Ends the checks. */
    fun stop() {
        timer?.cancel()
        timer = null
    }

    private fun isTooSilent(attempt: Attempt): Boolean = !attempt.isPaused &&
        context.thread.now() - attempt.lastEventAt > timeoutOf(attempt) &&
        AttemptEndpointSelector(context).hasUntried(request, tried + attempt.endpoint)

    private fun timeoutOf(attempt: Attempt): Duration = if (hasBegun()) {
        ReceiveTimeout.betweenEvents(request.route, remaining = request.deadline - attempt.lastEventAt)
    } else {
        ReceiveTimeout.beforeFirstEvent(request.route, attempt.expectedTimeToFirstEvent)
    }

    private companion object {
        val CHECK_INTERVAL = 50.milliseconds
    }
}
