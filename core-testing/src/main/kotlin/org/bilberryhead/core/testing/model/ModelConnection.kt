package org.bilberryhead.core.testing.model

import org.bilberryhead.core.gate.ConnectionId
import org.bilberryhead.core.message.Message
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Timings of the model's wire. */
internal object WireTimings {
    val LATENCY = 1.milliseconds
    val SILENCE_LIMIT = 300.milliseconds
    val RECONNECT_DELAY = 50.milliseconds

    /** How long a stale connection holds what it carries; longer than the silence limit and a reconnect. */
    val STALE_DELAY = 500.milliseconds

    /** How long a delayed connection holds what it carries; shorter than the silence limit. */
    val SHORT_DELAY = 200.milliseconds
    val JITTER = 20.milliseconds
}

/** One way of a connection. Keeps the order of messages unless told otherwise. */
internal class ModelDirection(private val session: ModelSession, private val deliver: (Message) -> Unit) {
    var isSilent = false
    var isReordering = false
    var isDuplicating = false
    var delay: Duration = Duration.ZERO
    private var lastArrival: Instant = session.loop.clock.now()

    fun send(message: Message) {
        if (isSilent) return
        schedule(message)
        if (isDuplicating) schedule(message)
    }

    /** Runs [action] once everything sent before has arrived. */
    fun afterAll(action: () -> Unit) {
        if (!isSilent) session.loop.after(arrival() - session.loop.clock.now(), action)
    }

    private fun schedule(message: Message) {
        val at = arrival()
        session.loop.after(at - session.loop.clock.now()) { deliver(message) }
    }

    private fun arrival(): Instant {
        val earliest = session.loop.clock.now() + WireTimings.LATENCY + delay
        if (isReordering) return earliest + WireTimings.JITTER * session.random.nextDouble()
        lastArrival = maxOf(lastArrival, earliest)
        return lastArrival
    }
}

/** A connection that [entry] opened to [sidecar]. Each side finds out on its own that it has ended. */
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
        sidecar.process.after(Duration.ZERO) { if (isSidecarOpen && !isReset) sidecar.received(this, message) }
    }
    val toEntry = ModelDirection(session) { message ->
        entry.process.after(Duration.ZERO) { if (isEntryOpen && !isReset) entry.received(this, message) }
    }

    private val ways = listOf(toSidecar, toEntry)

    /** Does to the connection what [fault] says; faults of other parts do nothing. */
    fun strike(fault: Fault) {
        when (fault) {
            Fault.CUT_CONNECTION -> reset()
            Fault.SILENCE_TO_SIDECAR -> toSidecar.isSilent = true
            Fault.SILENCE_TO_ENTRY -> toEntry.isSilent = true
            Fault.SILENCE_BOTH_WAYS -> ways.forEach { it.isSilent = true }
            Fault.STALE_CONNECTION -> {
                toEntry.isSilent = true
                toSidecar.delay = WireTimings.STALE_DELAY
            }
            Fault.DELAY_BOTH_WAYS -> ways.forEach { it.delay = WireTimings.SHORT_DELAY }
            Fault.REORDER_MESSAGES -> ways.forEach { it.isReordering = true }
            Fault.DUPLICATE_MESSAGES -> ways.forEach { it.isDuplicating = true }
            else -> Unit
        }
        watch()
    }

    /** Both sides learn at once that the connection is gone; what is under way is lost. */
    fun reset() {
        isReset = true
        entry.process.after(WireTimings.LATENCY, ::closeEntrySide)
        sidecar.process.after(WireTimings.LATENCY, ::closeSidecarSide)
    }

    /** Makes both sides look, after the silence limit, whether they hear anything. */
    fun watch() {
        entry.process.after(WireTimings.SILENCE_LIMIT) { if (isEntrySilent()) giveUpEntrySide() }
        sidecar.process.after(WireTimings.SILENCE_LIMIT) { if (isSidecarSilent()) giveUpSidecarSide() }
    }

    private fun isEntrySilent() = toEntry.isSilent || sidecar.process.isFrozen

    private fun isSidecarSilent() = toSidecar.isSilent || entry.process.isFrozen

    private fun giveUpEntrySide() {
        toSidecar.afterAll { sidecar.process.after(Duration.ZERO, ::closeSidecarSide) }
        closeEntrySide()
    }

    private fun giveUpSidecarSide() {
        toEntry.afterAll { entry.process.after(Duration.ZERO, ::closeEntrySide) }
        closeSidecarSide()
    }

    private fun closeEntrySide() {
        if (!isEntryOpen) return
        isEntryOpen = false
        entry.lost(this)
    }

    private fun closeSidecarSide() {
        if (!isSidecarOpen) return
        isSidecarOpen = false
        sidecar.closed(this)
    }
}
