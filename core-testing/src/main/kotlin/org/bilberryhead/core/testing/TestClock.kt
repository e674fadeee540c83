package org.bilberryhead.core.testing

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** A clock whose time changes only when a test advances it. */
class TestClock(private var current: Instant = START) : Clock {
    override fun now(): Instant = current

    /** Moves the clock forward by [step]. */
    fun advance(step: Duration) {
        current += step
    }

    /** Moves the clock forward to [instant]; an earlier [instant] has no effect. */
    fun advanceTo(instant: Instant) {
        if (instant > current) current = instant
    }

    companion object {
        /** The default start time. */
        val START: Instant = Instant.fromEpochSeconds(1_800_000_000)
    }
}
