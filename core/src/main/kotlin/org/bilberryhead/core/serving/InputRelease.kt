package org.bilberryhead.core.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Which results are given up while the call that reads them is still worked on.
 *
 * Load that this answers: bursts on a pool whose memory is full of results that the next stage has fetched already. An
 * endpoint fetches the inputs of a call when it begins to work on it, so that they need not be held until it answers.
 */
class InputRelease {
    private var pausedUntil: Instant? = null

    /** Returns the inputs of [call] that nobody reads after it; none while inputs were missed lately. */
    fun lastRead(call: List<StagePiece>, now: Instant): Set<ResultHandle> {
        if (pausedUntil?.let { now < it } == true) return emptySet()
        return call.groupBy { it.request to it.stage }
            .values
            .filter { pieces -> pieces.first().readers == pieces.size }
            .flatMapTo(mutableSetOf()) { it.first().inputs }
    }

    /** An endpoint did not find inputs that were given up: they are held until the end of calls for a while. */
    fun inputsMissed(now: Instant) {
        pausedUntil = now + PAUSE
    }

    companion object {
        /** Time from the sending of a call until its endpoint, which works on nothing else, has fetched the inputs. */
        val FETCH_TIME: Duration = 100.milliseconds
        private val PAUSE = 5.seconds
    }
}
