package org.bilberryhead.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val log = KotlinLogging.logger {}

/** A scheduled action that can be cancelled. */
internal fun interface Timer {
    /** Cancels the action; has no effect once it has run. */
    fun cancel()
}

/** The single thread that serves the connections and owns all mutable state, with its clock. */
internal class EventThread(val loop: EventLoop, private val clock: Clock) {
    /** Number of unexpected exceptions so far. */
    var failureCount = 0L
        private set

    private var logWindowStart = clock.now()
    private var loggedInWindow = 0

    /** Returns the current time, which never goes back. */
    fun now(): Instant = clock.now()

    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit): Timer {
        val task = loop.schedule(
            { runGuarded("scheduled action", action) },
            delay.inWholeMicroseconds.coerceAtLeast(0),
            TimeUnit.MICROSECONDS,
        )
        return Timer { task.cancel(false) }
    }

    /** Runs [action] repeatedly, each time [interval] after the previous run has ended. */
    fun every(interval: Duration, action: () -> Unit) {
        after(interval) {
            try {
                runGuarded("repeated action", action)
            } finally {
                every(interval, action)
            }
        }
    }

    /**
     * Runs [block] as part of [action] and returns whether it ended without an exception. An exception is recorded and
     * goes no further, nor does an error such as one for lack of memory, so that a failure for one request cannot stop
     * what serves all requests.
     */
    fun runGuarded(action: String, block: () -> Unit): Boolean = try {
        block()
        true
    } catch (@Suppress("TooGenericExceptionCaught") failure: Throwable) {
        recordFailure(failure, action)
        false
    }

    /** Counts an exception that was not expected during [action], and logs it unless many were logged this second. */
    fun recordFailure(failure: Throwable, action: String) {
        failureCount++
        val now = now()
        if (now - logWindowStart >= 1.seconds) {
            logWindowStart = now
            loggedInWindow = 0
        }
        if (loggedInWindow++ < MAXIMUM_LOGGED_PER_SECOND) log.error(failure) { "unexpected failure: $action" }
    }

    private companion object {
        const val MAXIMUM_LOGGED_PER_SECOND = 5
    }
}
