package org.bilberryhead.core.lease

import org.bilberryhead.core.common.FencingNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * The authority of one process to give orders, shown by a fencing number. The holder may use it for [validity] after it
 * last knew that the number stands; it must check [validNumber] right before every use. A holder that was paused finds
 * the lease lapsed, because the check compares the clock after the pause.
 *
 * The check narrows the window and does not close it: a pause between check and use remains, which only an endpoint
 * that refuses old numbers closes.
 *
 * Not safe for use by several threads.
 */
class LeaseHolder(private val validity: Duration = 5.seconds) {
    private var number: FencingNumber? = null

    /** When the number must be confirmed again. */
    var validUntil: Instant = Instant.DISTANT_PAST
        private set

    /** What is known of the lease. */
    var state: LeaseState = LeaseChart.chart.initial
        private set

    /** Records that [acquired] was written by a call that began at [startedAt]. */
    fun recordAcquired(acquired: FencingNumber, startedAt: Instant) {
        if (LeaseChart.chart.isFinal(state)) return
        number = acquired
        validUntil = startedAt + validity
        apply(LeaseEvent.ACQUIRED)
    }

    /** Records that a read which began at [startedAt] showed [stored]; validity counts from the begin of the read. */
    fun recordRead(stored: FencingNumber, startedAt: Instant) {
        if (stored == number) {
            if (apply(LeaseEvent.CONFIRMED) == LeaseAction.EXTEND) validUntil = maxOf(validUntil, startedAt + validity)
        } else {
            apply(LeaseEvent.SUPERSEDED)
        }
    }

    /** Returns the number to use at [now], or null when the lease must be confirmed first or is lost. */
    fun validNumber(now: Instant): FencingNumber? {
        if (state == LeaseState.HELD && now >= validUntil) apply(LeaseEvent.EXPIRED)
        return number.takeIf { state == LeaseState.HELD }
    }

    private fun apply(event: LeaseEvent): LeaseAction? {
        val transition = LeaseChart.chart.next(state, event)
        state = transition.target
        return transition.action
    }
}
