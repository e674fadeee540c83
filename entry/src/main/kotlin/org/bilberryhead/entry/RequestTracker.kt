package org.bilberryhead.entry

import kotlinx.coroutines.CompletableDeferred

/** Counts the requests in flight and stops to admit any once the entry drains. Safe for use by several threads. */
class RequestTracker : EntryActivity {
    private val lock = Any()
    private val idle = CompletableDeferred<Unit>()
    private var count = 0
    private var isClosed = false

    @Volatile
    override var isDraining = false
        private set

    override val requestsInFlight: Int get() = synchronized(lock) { count }

    /** Counts a request in and returns true, or returns false when none is admitted any more. */
    fun tryStart(): Boolean = synchronized(lock) {
        if (!isClosed) count++
        !isClosed
    }

    /** Counts a request out that [tryStart] admitted. */
    fun end() = synchronized(lock) {
        check(count > 0) { "more requests ended than began" }
        count--
        completeWhenIdle()
    }

    /** Makes the readiness check fail; requests are still admitted. */
    fun startDraining() {
        isDraining = true
    }

    /** Admits no further request. */
    fun close() = synchronized(lock) {
        isClosed = true
        completeWhenIdle()
    }

    /** Waits until no request is in flight and none can begin. */
    suspend fun awaitIdle() = idle.await()

    private fun completeWhenIdle() {
        if (isClosed && count == 0) idle.complete(Unit)
    }
}
