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
        // Ktor's own hook would stop the server at once, and with it the requests that the drain waits for.
        System.setProperty(KTOR_SHUTDOWN_HOOK, "false")
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

    private companion object {
        const val KTOR_SHUTDOWN_HOOK = "io.ktor.server.engine.ShutdownHook"
    }
}
