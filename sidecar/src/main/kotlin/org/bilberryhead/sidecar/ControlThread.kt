package org.bilberryhead.sidecar

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

private val log = KotlinLogging.logger("sidecar")

/**
 * Runs steps one at a time on one thread, in the order in which they were queued.
 *
 * @param capacity number of unfinished steps from which [submit] suspends its callers
 */
internal class ControlThread(private val capacity: Int = DEFAULT_CAPACITY, private val onBrokenInvariant: () -> Unit) {
    private val unfinished = AtomicInteger()
    private val executor = Executors.newSingleThreadExecutor { work ->
        Thread(work, "control").apply { isDaemon = true }
    }

    /** Number of steps that are queued or running. */
    val unfinishedSteps: Int get() = unfinished.get()

    /** Whether fewer steps than the capacity are unfinished. */
    val hasCapacity: Boolean get() = unfinishedSteps < capacity

    /**
     * Queues [step] and returns immediately, even above the capacity. For events of the daemon itself, whose number is
     * limited by their sources. An exception of a step is reported as a broken invariant.
     */
    @Suppress("TooGenericExceptionCaught") // after any exception the control state cannot be trusted
    fun post(step: () -> Unit) {
        unfinished.incrementAndGet()
        executor.execute {
            try {
                step()
            } catch (failure: Throwable) {
                log.error(failure) { "sidecar: an invariant is broken" }
                onBrokenInvariant()
            } finally {
                unfinished.decrementAndGet()
            }
        }
    }

    /** Queues [step]. Above the capacity, suspends until it has run, so that each caller adds at most one step. */
    suspend fun submit(step: () -> Unit) {
        if (hasCapacity) return post(step)
        val finished = CompletableDeferred<Unit>()
        post {
            try {
                step()
            } finally {
                finished.complete(Unit)
            }
        }
        finished.await()
    }

    companion object {
        /** Default capacity, in steps. */
        const val DEFAULT_CAPACITY = 256
    }
}
