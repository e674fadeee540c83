package org.bilberryhead.core.gate

import kotlin.time.Duration
import kotlin.time.Instant

/** How long a leaving sidecar without work keeps running to respond to queries of entries. */
internal class DrainGracePeriod {
    private var activeUntil: Instant? = null
    private var leaveRequestedAt: Instant? = null

    /** Extends the period to [instant], until which an entry may still send a query. */
    fun extendUntil(instant: Instant) {
        activeUntil = maxOf(activeUntil ?: instant, instant)
    }

    /** Records that the sidecar was requested to leave; only the first call has an effect. */
    fun recordLeave(now: Instant) {
        leaveRequestedAt = leaveRequestedAt ?: now
    }

    /** Returns whether an entry may still send a query; false once [maximum] has passed since the request to leave. */
    fun isActive(now: Instant, maximum: Duration): Boolean {
        val until = activeUntil ?: return false
        val requestedAt = leaveRequestedAt ?: return true
        return now < minOf(until, requestedAt + maximum)
    }
}
