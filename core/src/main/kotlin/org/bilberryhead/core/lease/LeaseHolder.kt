package org.bilberryhead.core.lease

import org.bilberryhead.core.common.FencingNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * The lease that allows one process to send orders, identified by a fencing number. The holder may use the number for
 * [validity] after the start of the last call that confirmed it, and must call [validNumber] right before every use. A
 * holder that was paused finds its lease expired, because the check reads the clock after the pause.
 *
 * The check does not exclude a stale order: the holder may still be paused between the check and the use. Only an
 * endpoint that rejects old fencing numbers prevents that.
 *
 * Not thread-safe.
 */
class LeaseHolder(private val validity: Duration = 5.seconds) {
    private var number: FencingNumber? = null

    /** When the lease expires unless the number is confirmed before. */
    var validUntil: Instant = Instant.DISTANT_PAST
        private set

    /** The state of the lease as the holder knows it. */
    var state: LeaseState = LeaseChart.chart.initial
        private set

    /** Records that a call which started at [startedAt] stored [acquired] as the new fencing number. */
    fun recordAcquired(acquired: FencingNumber, startedAt: Instant) {
        if (LeaseChart.chart.isFinal(state)) return
        number = acquired
        validUntil = startedAt + validity
        applyEvent(LeaseEvent.ACQUIRED)
    }

    /**
     * Records that a read which started at [startedAt] returned [stored]. An equal number extends the lease, counted
     * from the start of the read; any other number ends it.
     */
    fun recordRead(stored: FencingNumber, startedAt: Instant) {
        if (stored == number) {
            if (applyEvent(LeaseEvent.CONFIRMED) == LeaseAction.EXTEND) {
                validUntil = maxOf(validUntil, startedAt + validity)
            }
        } else {
            applyEvent(LeaseEvent.SUPERSEDED)
        }
    }

    /** Returns the fencing number if the lease is held at [now]; null if it expired, was lost or was never held. */
    fun validNumber(now: Instant): FencingNumber? {
        if (state == LeaseState.HELD && now >= validUntil) applyEvent(LeaseEvent.EXPIRED)
        return number.takeIf { state == LeaseState.HELD }
    }

    private fun applyEvent(event: LeaseEvent): LeaseAction? {
        val transition = LeaseChart.chart.next(state, event)
        state = transition.target
        return transition.action
    }
}
