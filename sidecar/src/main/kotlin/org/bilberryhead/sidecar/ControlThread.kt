package org.bilberryhead.sidecar

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.Executors

private val log = KotlinLogging.logger("sidecar")

/** Runs steps one after another on one thread, in the order in which they were posted. */
internal class ControlThread(private val onBrokenInvariant: () -> Unit) {
    private val executor = Executors.newSingleThreadExecutor { work ->
        Thread(work, "control").apply { isDaemon = true }
    }

    /** Queues [step] and returns at once. A step that throws has found a broken invariant. */
    @Suppress("TooGenericExceptionCaught") // whatever is thrown, the control state can not be trusted any more
    fun post(step: () -> Unit) {
        executor.execute {
            try {
                step()
            } catch (failure: Throwable) {
                log.error(failure) { "sidecar: an invariant is broken" }
                onBrokenInvariant()
            }
        }
    }
}
