package org.bilberryhead.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

private val log = KotlinLogging.logger {}

/** A scheduled action that can be cancelled. */
internal fun interface Timer {
    /** Cancels the action; has no effect once it has run. */
    fun cancel()
}

/** The single thread that serves the connections and owns all mutable state, with its clock. */
internal class EventThread(val loop: EventLoop, private val clock: Clock) {
    /** Returns the current time, which never goes back. */
    fun now(): Instant = clock.now()

    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit): Timer {
        val task = loop.schedule(
            { runLoggingFailures(action) },
            delay.inWholeMicroseconds.coerceAtLeast(0),
            TimeUnit.MICROSECONDS,
        )
        return Timer { task.cancel(false) }
    }

    /** Runs [action] repeatedly, each time [interval] after the previous run has ended. */
    fun every(interval: Duration, action: () -> Unit) {
        after(interval) {
            runLoggingFailures(action)
            every(interval, action)
        }
    }

    private fun runLoggingFailures(action: () -> Unit) = try {
        action()
    } catch (@Suppress("TooGenericExceptionCaught") failure: RuntimeException) {
        // A failure for one request must not stop a repeating action that serves all requests.
        log.error(failure) { "a scheduled action failed" }
    }
}
