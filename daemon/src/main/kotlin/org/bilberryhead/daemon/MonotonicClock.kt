package org.bilberryhead.daemon

import kotlin.time.Clock
import kotlin.time.Instant
import kotlin.time.TimeSource

/** A clock that starts at the system time and then advances monotonically, unaffected by clock adjustments. */
class MonotonicClock : Clock {
    private val startedAt = Clock.System.now()
    private val startMark = TimeSource.Monotonic.markNow()

    override fun now(): Instant = startedAt + startMark.elapsedNow()
}
