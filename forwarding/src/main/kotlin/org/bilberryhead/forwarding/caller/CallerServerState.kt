package org.bilberryhead.forwarding.caller

import org.bilberryhead.core.serving.CallerLimits
import kotlin.time.Instant

/** Process state that caller connections depend on. */
internal interface CallerServerState {
    /** Returns the current time. */
    fun now(): Instant

    /** Size and time limits for the requests of callers. */
    val limits: CallerLimits

    /** Whether the process is draining; each response then closes its connection. */
    val isDraining: Boolean

    /** Records an exception that was not expected. */
    fun recordFailure(failure: Throwable)

    /** Runs [block]; records an exception that was not expected, and returns whether there was none. */
    fun runGuarded(block: () -> Unit): Boolean

    /** Counts a request that was rejected before it was read completely. */
    fun rejected(status: Int, reason: String)
}
