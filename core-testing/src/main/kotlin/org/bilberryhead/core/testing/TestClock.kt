package org.bilberryhead.core.testing

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** A clock that moves only when a test moves it. */
class TestClock(private var current: Instant = START) : Clock {
    override fun now(): Instant = current

    /** Moves the clock forward by [step]. */
    fun advance(step: Duration) {
        current += step
    }

    /** Moves the clock forward to [instant]; it never goes back. */
    fun advanceTo(instant: Instant) {
        if (instant > current) current = instant
    }

    companion object {
        /** Where a test clock starts unless told otherwise. */
        val START: Instant = Instant.fromEpochSeconds(1_800_000_000)
    }
}
