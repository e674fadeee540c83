package org.bilberryhead.load.policy

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Instant

/** A virtual clock that runs scheduled steps in order of time; steps of the same time keep their order. */
class VirtualTime {
    private class Step(val atMicros: Long, val number: Long, val run: () -> Unit) : Comparable<Step> {
        override fun compareTo(other: Step): Int =
            if (atMicros == other.atMicros) number.compareTo(other.number) else atMicros.compareTo(other.atMicros)
    }

    private val steps = PriorityQueue<Step>()
    private var stepCount = 0L
    private var micros = 0L

    /** Time since the start. */
    val elapsed: Duration get() = micros.microseconds

    /** The current instant. */
    val now: Instant get() = START + elapsed

    /** Runs [step] after [delay]. */
    fun after(delay: Duration, step: () -> Unit) {
        val at = micros + maxOf(0L, delay.inWholeMicroseconds)
        steps += Step(at, stepCount++, step)
    }

    /** Runs [step] at [instant], or at the current time if [instant] has passed. */
    fun at(instant: Instant, step: () -> Unit) = after(instant - now, step)

    /** Runs all steps that are due at or before [end]. */
    fun runUntil(end: Duration) {
        while (true) {
            val step = steps.peek() ?: return
            if (step.atMicros > end.inWholeMicroseconds) return
            steps.poll()
            micros = step.atMicros
            step.run()
        }
    }

    private companion object {
        val START = Instant.fromEpochSeconds(1_800_000_000)
    }
}
