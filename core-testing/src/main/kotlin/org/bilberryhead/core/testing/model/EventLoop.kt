package org.bilberryhead.core.testing.model

import org.bilberryhead.core.testing.TestClock
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Instant

/** Runs actions in the order of their virtual time; actions of the same time run in the order they were added. */
internal class EventLoop {
    private class Scheduled(val at: Instant, val order: Long, val action: () -> Unit)

    private val queue = PriorityQueue<Scheduled>(compareBy({ it.at }, { it.order }))
    private var added = 0L
    val clock = TestClock()

    fun after(delay: Duration, action: () -> Unit) {
        queue += Scheduled(clock.now() + delay, added++, action)
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

/** One process that can be killed, frozen and woken. What it should have done while frozen it does on waking. */
internal class ModelProcess(private val loop: EventLoop) {
    private val held = mutableListOf<() -> Unit>()
    private var run = 0
    var isAlive = true
        private set
    var isFrozen = false
        private set

    /** Runs [action] after [delay], unless the process has ended by then. */
    fun after(delay: Duration, action: () -> Unit) {
        val startedIn = run
        loop.after(delay) { perform(startedIn, action) }
    }

    fun kill() {
        run++
        isAlive = false
        isFrozen = false
        held.clear()
    }

    fun start() {
        isAlive = true
    }

    fun freeze() {
        isFrozen = true
    }

    fun wake() {
        if (!isFrozen) return
        isFrozen = false
        val due = held.toList()
        held.clear()
        val startedIn = run
        due.forEach { perform(startedIn, it) }
    }

    private fun perform(startedIn: Int, action: () -> Unit) {
        when {
            startedIn != run || !isAlive -> Unit
            isFrozen -> held += action
            else -> action()
        }
    }
}
