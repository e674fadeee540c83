package org.bilberryhead.core.serving

import org.bilberryhead.core.common.EndpointId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Which results are given up while the call that reads them is still worked on.
 *
 * Load that this answers: bursts on a pool whose memory is full of results that the next stage has fetched already. An
 * endpoint fetches the inputs of a call when it begins to work on it, so that they need not be held until it answers.
 * That is soon only where no other coordinator has calls, as while one takes over from another.
 */
class EarlyInputRelease {
    private val aloneUntil = mutableMapOf<EndpointId, Instant>()
    private var pausedUntil: Instant? = null

    /** Returns the inputs of [call] to [endpoint] that may be given up [FETCH_TIME] after it was sent. */
    fun releasableInputs(call: List<StagePiece>, endpoint: EndpointId, now: Instant): Set<ResultHandle> {
        val isPaused = pausedUntil?.let { now < it } ?: false
        val isAlone = aloneUntil[endpoint]?.let { now < it } ?: false
        if (isPaused || !isAlone) return emptySet()
        return call.groupBy { it.request to it.stage }
            .values
            .filter { pieces -> pieces.first().readers == pieces.size }
            .flatMapTo(mutableSetOf()) { it.first().inputs }
    }

    /** A call to [endpoint] has ended; [mayHaveQueued] when it stood behind calls of others there, or may have. */
    fun recordCallEnd(endpoint: EndpointId, mayHaveQueued: Boolean, now: Instant) {
        aloneUntil.values.removeAll { it <= now }
        if (mayHaveQueued) aloneUntil.remove(endpoint) else aloneUntil[endpoint] = now + ALONE_TIME
    }

    /** An endpoint did not find inputs that were given up: they are held until the end of calls for a while. */
    fun recordMissingInputs(now: Instant) {
        pausedUntil = now + PAUSE
    }

    companion object {
        /** Time from the sending of a call until its endpoint, which works on nothing else, has fetched the inputs. */
        val FETCH_TIME: Duration = 100.milliseconds
        private val PAUSE = 5.seconds

        /** How long an endpoint counts as used by nobody else after a call that did not wait there. */
        private val ALONE_TIME = 2.seconds
    }
}
