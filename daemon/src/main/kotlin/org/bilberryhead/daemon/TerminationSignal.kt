package org.bilberryhead.daemon

import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Waits for SIGTERM or SIGINT. The process then ends once [release] is called, or after [timeout] at the latest.
 */
class TerminationSignal(private val timeout: Duration) {
    private val requested = CompletableDeferred<Unit>()
    private val released = CountDownLatch(1)

    init {
        // Ktor's shutdown hook would stop the server immediately and abort the requests that the drain waits for.
        System.setProperty(KTOR_SHUTDOWN_HOOK, "false")
        Runtime.getRuntime().addShutdownHook(
            Thread {
                requested.complete(Unit)
                released.await(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            },
        )
    }

    /** Suspends until SIGTERM or SIGINT arrives. */
    suspend fun await() = requested.await()

    /** Lets the process end. */
    fun release() = released.countDown()

    private companion object {
        const val KTOR_SHUTDOWN_HOOK = "io.ktor.server.engine.ShutdownHook"
    }
}
