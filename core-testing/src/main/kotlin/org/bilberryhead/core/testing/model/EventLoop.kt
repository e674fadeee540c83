package org.bilberryhead.core.testing.model

import org.bilberryhead.core.testing.TestClock
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Instant

/** Runs actions in order of virtual time; actions due at the same time run in the order in which they were added. */
internal class EventLoop {
    private class Scheduled(val at: Instant, val sequence: Long, val action: () -> Unit)

    private val queue = PriorityQueue<Scheduled>(compareBy({ it.at }, { it.sequence }))
    private var nextSequence = 0L
    val clock = TestClock()

    fun after(delay: Duration, action: () -> Unit) {
        queue += Scheduled(clock.now() + delay, nextSequence++, action)
    }

    fun runUntil(end: Instant) {
        while (true) {
            val next = queue.peek() ?: return
            if (next.at > end) return
            queue.remove()
            clock.advanceTo(next.at)
            next.action()
        }
    }
}

/** A process that can be killed, frozen and resumed. Actions that fall due while it is frozen run when it resumes. */
internal class ModelProcess(private val loop: EventLoop) {
    private val deferred = mutableListOf<() -> Unit>()
    private var incarnation = 0
    var isAlive = true
        private set
    var isFrozen = false
        private set

    /** Runs [action] after [delay], unless the process has been killed by then. */
    fun after(delay: Duration, action: () -> Unit) {
        val scheduledIn = incarnation
        loop.after(delay) { perform(scheduledIn, action) }
    }

    fun kill() {
        incarnation++
        isAlive = false
        isFrozen = false
        deferred.clear()
    }

    fun start() {
        isAlive = true
    }

    fun freeze() {
        isFrozen = true
    }

    fun resume() {
        if (!isFrozen) return
        isFrozen = false
        val due = deferred.toList()
        deferred.clear()
        val scheduledIn = incarnation
        due.forEach { perform(scheduledIn, it) }
    }

    private fun perform(scheduledIn: Int, action: () -> Unit) {
        when {
            scheduledIn != incarnation || !isAlive -> Unit
            isFrozen -> deferred += action
            else -> action()
        }
    }
}
