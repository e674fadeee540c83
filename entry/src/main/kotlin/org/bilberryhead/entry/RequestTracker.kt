package org.bilberryhead.entry

import kotlinx.coroutines.CompletableDeferred

/** Counts the requests in flight, and stops admitting requests when the entry drains. Thread-safe. */
class RequestTracker : EntryActivity {
    private val lock = Any()
    private val idle = CompletableDeferred<Unit>()
    private var count = 0
    private var isClosed = false

    @Volatile
    override var isDraining = false
        private set

    override val requestsInFlight: Int get() = synchronized(lock) { count }

    /** Admits and counts a request and returns true, or returns false when requests are no longer admitted. */
    fun tryStart(): Boolean = synchronized(lock) {
        if (!isClosed) count++
        !isClosed
    }

    /** Ends a request that [tryStart] admitted, so that it no longer counts as in flight. */
    fun end() = synchronized(lock) {
        check(count > 0) { "more requests ended than were started" }
        count--
        completeWhenIdle()
    }

    /** Makes the readiness check fail; requests are still admitted. */
    fun startDraining() {
        isDraining = true
    }

    /** Stops admitting requests. */
    fun close() = synchronized(lock) {
        isClosed = true
        completeWhenIdle()
    }

    /** Waits until requests are no longer admitted and none is in flight. */
    suspend fun awaitIdle() = idle.await()

    private fun completeWhenIdle() {
        if (isClosed && count == 0) idle.complete(Unit)
    }
}
