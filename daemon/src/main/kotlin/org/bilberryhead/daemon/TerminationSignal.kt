package org.bilberryhead.daemon

import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Turns SIGTERM and SIGINT into an event. The process ends once [release] is called, or after [limit] at the latest.
 */
class TerminationSignal(private val limit: Duration) {
    private val requested = CompletableDeferred<Unit>()
    private val released = CountDownLatch(1)

    init {
        Runtime.getRuntime().addShutdownHook(
            Thread {
                requested.complete(Unit)
                released.await(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            },
        )
    }

    /** Waits until the process is asked to end. */
    suspend fun await() = requested.await()

    /** Lets the process end. */
    fun release() = released.countDown()
}
