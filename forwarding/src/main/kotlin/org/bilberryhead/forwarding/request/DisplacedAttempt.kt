package org.bilberryhead.forwarding.request

import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.Timer
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps the silent attempt of a request while another endpoint is asked to take over, so that the request can go on
 * where it was when the other endpoint refuses. The attempt is not read meanwhile.
 */
internal class DisplacedAttempt(private val thread: EventThread) {
    private var attempt: Attempt? = null
    private var timer: Timer? = null

    /** Keeps [silent] for the time in which an endpoint refuses a request, instead of the one that was kept before. */
    fun keep(silent: Attempt) {
        timeOut()
        silent.pause()
        attempt = silent
        timer = thread.after(REFUSAL_TIME) { timeOut() }
    }

    /** Returns the kept attempt, whose reading is still paused, or null when none is kept. */
    fun takeBack(): Attempt? {
        timer?.cancel()
        return attempt.also { attempt = null }
    }

    /** Ends the kept attempt, because its request goes on elsewhere, and counts it as a failure of its endpoint. */
    fun timeOut() = end { it.timeOut() }

    /** Ends the kept attempt, because its request has ended. */
    fun cancel() = end { it.cancel() }

    /** Drops the kept attempt if it is [ended], which has ended by itself; returns whether it was. */
    fun drop(ended: Attempt): Boolean {
        if (attempt !== ended) return false
        timer?.cancel()
        attempt = null
        return true
    }

    private fun end(action: (Attempt) -> Unit) {
        timer?.cancel()
        val kept = attempt ?: return
        attempt = null
        action(kept)
    }

    private companion object {
        /** Endpoints refuse at once. For longer than this, two endpoints must not work on one request. */
        val REFUSAL_TIME = 300.milliseconds
    }
}
