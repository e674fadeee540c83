package org.bilberryhead.sidecar

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

private val log = KotlinLogging.logger("sidecar")

/**
 * Runs steps one after another on one thread, in the order in which they were queued.
 *
 * @param capacity steps that may wait before those who bring more have to wait too
 */
internal class ControlThread(private val capacity: Int = DEFAULT_CAPACITY, private val onBrokenInvariant: () -> Unit) {
    private val unfinished = AtomicInteger()
    private val executor = Executors.newSingleThreadExecutor { work ->
        Thread(work, "control").apply { isDaemon = true }
    }

    /** Steps that wait or run. */
    val unfinishedSteps: Int get() = unfinished.get()

    /** Whether new work can be queued. */
    val hasRoom: Boolean get() = unfinishedSteps < capacity

    /**
     * Queues [step] and returns at once, whether there is room or not: for events of the daemon itself, whose number is
     * limited by what they come from. A step that throws has found a broken invariant.
     */
    @Suppress("TooGenericExceptionCaught") // whatever is thrown, the control state can not be trusted any more
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

    /** Queues [step]; without room returns only once it has run, so that each caller adds one step at most. */
    suspend fun submit(step: () -> Unit) {
        if (hasRoom) return post(step)
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
        /** Steps that may wait unless told otherwise. */
        const val DEFAULT_CAPACITY = 256
    }
}
