package org.bilberryhead.core.serving

import org.bilberryhead.core.common.EndpointId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Decides which results are released while the call that reads them is still running.
 *
 * Designed for bursts on a pool whose memory is full of results that the next stage has already fetched. An endpoint
 * fetches the inputs of a call when it starts the call, so they need not be kept until it ends. The call starts soon
 * after it was sent only when no other coordinator has calls at the endpoint; during a change of coordinator, another
 * one may have some.
 */
class EarlyInputRelease {
    private val exclusiveUntil = mutableMapOf<EndpointId, Instant>()
    private var pausedUntil: Instant? = null

    /** Returns the inputs of [call] to [endpoint] that may be released [FETCH_TIME] after it was sent. */
    fun releasableInputs(call: List<StagePiece>, endpoint: EndpointId, now: Instant): Set<ResultHandle> {
        val isPaused = pausedUntil?.let { now < it } ?: false
        val isExclusive = exclusiveUntil[endpoint]?.let { now < it } ?: false
        if (isPaused || !isExclusive) return emptySet()
        return call.groupBy { it.request to it.stage }
            .values
            .filter { pieces -> pieces.first().readers == pieces.size }
            .flatMapTo(mutableSetOf()) { it.first().inputs }
    }

    /** Records that a call to [endpoint] has ended; [mayHaveQueued] when it may have waited there for other calls. */
    fun recordCallEnd(endpoint: EndpointId, mayHaveQueued: Boolean, now: Instant) {
        exclusiveUntil.values.removeAll { it <= now }
        if (mayHaveQueued) exclusiveUntil.remove(endpoint) else exclusiveUntil[endpoint] = now + EXCLUSIVE_TIME
    }

    /** Records that an endpoint did not find inputs that were released early. Early release then pauses for a while. */
    fun recordMissingInputs(now: Instant) {
        pausedUntil = now + PAUSE_AFTER_MISSING_INPUTS
    }

    companion object {
        /** Time after which an endpoint without other calls has fetched the inputs of a call that was sent to it. */
        val FETCH_TIME: Duration = 100.milliseconds
        private val PAUSE_AFTER_MISSING_INPUTS = 5.seconds

        /** How long an endpoint counts as free of calls of other coordinators after a call that did not wait. */
        private val EXCLUSIVE_TIME = 2.seconds
    }
}
