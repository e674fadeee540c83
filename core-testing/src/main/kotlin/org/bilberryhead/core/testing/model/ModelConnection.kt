package org.bilberryhead.core.testing.model

import org.bilberryhead.core.gate.ConnectionId
import org.bilberryhead.core.message.Message
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Timings of the modelled connections. */
internal object WireTimings {
    val LATENCY = 1.milliseconds
    val SILENCE_TIMEOUT = 300.milliseconds
    val RECONNECT_DELAY = 50.milliseconds

    /** Delay of messages on a stale connection; longer than the silence timeout plus a reconnect. */
    val STALE_DELAY = 500.milliseconds

    /** Delay of messages on a slow connection; shorter than the silence timeout. */
    val SHORT_DELAY = 200.milliseconds

    /** Maximum additional delay of a reordered or duplicated message. */
    val JITTER = 20.milliseconds
}

/** One direction of a connection. Delivers messages in order unless [isReordering] is set. */
internal class ModelDirection(private val session: ModelSession, private val deliver: (Message) -> Unit) {
    var isSilent = false
    var isReordering = false
    var isDuplicating = false
    var delay: Duration = Duration.ZERO
    private var lastArrival: Instant = session.loop.clock.now()

    fun send(message: Message) {
        if (isSilent) return
        val now = session.loop.clock.now()
        session.loop.after(nextArrivalTime() - now) { deliverAfterDelay(message, sentAt = now) }
    }

    /** Runs [action] once all messages sent earlier have arrived; never runs it if the direction is silent. */
    fun afterPending(action: () -> Unit) {
        if (!isSilent) session.loop.after(nextArrivalTime() - session.loop.clock.now(), action)
    }

    /** Delivers [message] under the faults active at its arrival, which thus also affect messages in transit. */
    private fun deliverAfterDelay(message: Message, sentAt: Instant) {
        if (isSilent) return
        val remaining = sentAt + WireTimings.LATENCY + delay - session.loop.clock.now()
        if (remaining > Duration.ZERO) {
            session.loop.after(remaining) { deliver(message) }
        } else {
            deliver(message)
        }
        if (isDuplicating) session.loop.after(WireTimings.JITTER * session.random.nextDouble()) { deliver(message) }
    }

    private fun nextArrivalTime(): Instant {
        val earliest = session.loop.clock.now() + WireTimings.LATENCY + delay
        if (isReordering) return earliest + WireTimings.JITTER * session.random.nextDouble()
        lastArrival = maxOf(lastArrival, earliest)
        return lastArrival
    }
}

/** A connection that [entry] opened to [sidecar]. Each side detects separately that the connection has ended. */
internal class ModelConnection(
    private val session: ModelSession,
    val id: ConnectionId,
    val entry: ModelEntry,
    val sidecar: ModelSidecar,
) {
    private var isReset = false
    private var isEntryOpen = true
    private var isSidecarOpen = true
    val toSidecar = ModelDirection(session) { message ->
        sidecar.process.after(Duration.ZERO) { if (isSidecarOpen && !isReset) sidecar.onMessage(this, message) }
    }
    val toEntry = ModelDirection(session) { message ->
        entry.process.after(Duration.ZERO) { if (isEntryOpen && !isReset) entry.onMessage(this, message) }
    }

    private val directions = listOf(toSidecar, toEntry)

    /** Applies [fault] to the connection; has no effect for faults of processes and endpoints. */
    fun inject(fault: Fault) {
        when (fault) {
            Fault.CUT_CONNECTION -> reset()
            Fault.SILENCE_TO_SIDECAR -> toSidecar.isSilent = true
            Fault.SILENCE_TO_ENTRY -> toEntry.isSilent = true
            Fault.SILENCE_BOTH_WAYS -> directions.forEach { it.isSilent = true }
            Fault.STALE_CONNECTION -> {
                toEntry.isSilent = true
                toSidecar.delay = WireTimings.STALE_DELAY
            }
            Fault.DELAY_BOTH_WAYS -> directions.forEach { it.delay = WireTimings.SHORT_DELAY }
            Fault.REORDER_MESSAGES -> directions.forEach { it.isReordering = true }
            Fault.DUPLICATE_MESSAGES -> directions.forEach { it.isDuplicating = true }
            else -> Unit
        }
        checkSilenceAfterTimeout()
    }

    /** Breaks the connection: both sides detect it after one latency, and messages in transit are lost. */
    fun reset() {
        isReset = true
        entry.process.after(WireTimings.LATENCY, ::closeEntrySide)
        sidecar.process.after(WireTimings.LATENCY, ::closeSidecarSide)
    }

    /** Makes each side check, after the silence timeout, whether it still receives messages; if not, it closes. */
    fun checkSilenceAfterTimeout() {
        entry.process.after(WireTimings.SILENCE_TIMEOUT) { if (isEntrySilent()) timeOutEntrySide() }
        sidecar.process.after(WireTimings.SILENCE_TIMEOUT) { if (isSidecarSilent()) timeOutSidecarSide() }
    }

    private fun isEntrySilent() = toEntry.isSilent || sidecar.process.isFrozen

    private fun isSidecarSilent() = toSidecar.isSilent || entry.process.isFrozen

    private fun timeOutEntrySide() {
        toSidecar.afterPending { sidecar.process.after(Duration.ZERO, ::closeSidecarSide) }
        closeEntrySide()
    }

    private fun timeOutSidecarSide() {
        toEntry.afterPending { entry.process.after(Duration.ZERO, ::closeEntrySide) }
        closeSidecarSide()
    }

    private fun closeEntrySide() {
        if (!isEntryOpen) return
        isEntryOpen = false
        entry.onConnectionLost(this)
    }

    private fun closeSidecarSide() {
        if (!isSidecarOpen) return
        isSidecarOpen = false
        sidecar.onConnectionClosed(this)
    }
}
