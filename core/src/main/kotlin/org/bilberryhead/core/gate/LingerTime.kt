package org.bilberryhead.core.gate

import kotlin.time.Duration
import kotlin.time.Instant

/** How long a sidecar that has left and has no work stays to answer questions. */
internal class LingerTime {
    private var neededUntil: Instant? = null
    private var leftAt: Instant? = null

    /** Records that an entry may ask until [instant]. */
    fun keepUntil(instant: Instant) {
        neededUntil = maxOf(neededUntil ?: instant, instant)
    }

    /** Records that the sidecar was asked to leave, the first time that it is. */
    fun leave(now: Instant) {
        leftAt = leftAt ?: now
    }

    /** Returns whether an entry may still ask, for at most [maximum] after leaving. */
    fun isNeeded(now: Instant, maximum: Duration): Boolean {
        val until = neededUntil ?: return false
        val left = leftAt ?: return true
        return now < minOf(until, left + maximum)
    }
}
