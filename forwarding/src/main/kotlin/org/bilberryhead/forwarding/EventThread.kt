package org.bilberryhead.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

private val log = KotlinLogging.logger {}

/** Something that happens later and can be called off. */
internal fun interface Timer {
    /** Calls it off; harmless once it has happened. */
    fun cancel()
}

/** The one thread on which connections are served and all decisions are taken, and its clock. */
internal class EventThread(val loop: EventLoop, private val clock: Clock) {
    /** The present time; it never goes back. */
    fun now(): Instant = clock.now()

    /** Does [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit): Timer {
        val task = loop.schedule({ guarded(action) }, delay.inWholeMicroseconds.coerceAtLeast(0), TimeUnit.MICROSECONDS)
        return Timer { task.cancel(false) }
    }

    /** Does [action] again and again, [interval] after it was done last. */
    fun every(interval: Duration, action: () -> Unit) {
        after(interval) {
            guarded(action)
            every(interval, action)
        }
    }

    private fun guarded(action: () -> Unit) = try {
        action()
    } catch (@Suppress("TooGenericExceptionCaught") failure: RuntimeException) {
        // One faulty request must not end the timers of all others.
        log.error(failure) { "a scheduled action failed" }
    }
}
