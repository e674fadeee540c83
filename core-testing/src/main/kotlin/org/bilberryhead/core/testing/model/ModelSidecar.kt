package org.bilberryhead.core.testing.model

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.execution.AttemptLedger
import org.bilberryhead.core.gate.ConnectionId
import org.bilberryhead.core.gate.GateAction
import org.bilberryhead.core.gate.GateEvent
import org.bilberryhead.core.gate.GateLimits
import org.bilberryhead.core.gate.SidecarGate
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Leaving
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.tables.Endpoint
import kotlin.time.Duration.Companion.milliseconds

/** A sidecar process around a real gate. */
internal class ModelSidecar(private val session: ModelSession, val endpoint: Endpoint) {
    private val work = ModelEndpoint(session, this)
    private val connections = LinkedHashMap<ConnectionId, ModelConnection>()
    private val acceptedAfterLeaving = mutableSetOf<AttemptId>()
    private var runs = 0
    private var hasLeft = false
    private var gate = newGate()
    val process = ModelProcess(session.loop)
    val name = "sidecar-${endpoint.id}"

    /** The run of the process that is alive now. */
    val incarnation: Incarnation get() = Incarnation("${endpoint.id}-run$runs")

    val isLeaving: Boolean get() = gate.status.refusesNewWork

    fun start() {
        runs++
        hasLeft = false
        gate = newGate()
        process.start()
        handle(GateEvent.Ready)
        tick()
    }

    fun kill() {
        session.note("$name is killed")
        end()
    }

    fun freeze() {
        process.freeze()
        connections.values.forEach { it.watch() }
        session.loop.after(FREEZE_TIME) { process.wake() }
    }

    fun leave() = process.after(0.milliseconds) {
        if (hasLeft) return@after
        hasLeft = true
        session.note("$name is asked to leave")
        handle(GateEvent.Leave)
    }

    fun strike(fault: Fault) = work.strike(fault)

    /** A connection from an entry is open on this side. */
    fun opened(connection: ModelConnection) {
        connections[connection.id] = connection
        handle(GateEvent.ConnectionOpened(connection.id))
    }

    fun closed(connection: ModelConnection) {
        connections.remove(connection.id)
        handle(GateEvent.ConnectionClosed(connection.id))
    }

    fun received(connection: ModelConnection, message: Message) {
        if (message !is AttemptMessage) return
        session.arrived(message, Place(connection.entry, this, connection), name)
        if (message is Dispatch && hasLeft) acceptedAfterLeaving += message.attempt
        handle(GateEvent.MessageArrived(connection.id, message))
    }

    fun handle(event: GateEvent) = gate.handle(event, session.loop.clock.now()).forEach(::perform)

    private fun perform(action: GateAction) {
        when (action) {
            is GateAction.Send -> send(action)
            is GateAction.Run -> run(action.dispatch)
            is GateAction.CancelRun -> work.cancel(action.attempt)
            GateAction.Stop -> {
                session.arrive(Step.SIDECAR_DRAINED, Place(null, this, null), "$name is drained")
                process.after(FLUSH_TIME) { end() }
            }
        }
    }

    private fun run(dispatch: Dispatch) {
        if (dispatch.attempt in acceptedAfterLeaving) session.report("$name ran ${dispatch.attempt} after leaving")
        work.run(dispatch)
    }

    private fun send(action: GateAction.Send) {
        val connection = connections[action.connection] ?: return
        connection.toEntry.send(action.message)
        val place = Place(connection.entry, this, connection)
        when (val message = action.message) {
            is AttemptMessage -> session.sent(message, place, name, connection.entry.name)
            is Leaving -> session.arrive(Step.LEAVING_SENT, place, "$name > ${connection.entry.name}: leaving")
            else -> Unit
        }
    }

    private fun end() {
        process.kill()
        connections.values.toList().forEach { it.reset() }
        connections.clear()
        acceptedAfterLeaving.clear()
        session.loop.after(RESTART_TIME) { if (!process.isAlive) start() }
    }

    private fun tick() {
        handle(GateEvent.Tick)
        process.after(TICK_INTERVAL, ::tick)
    }

    private fun newGate() = SidecarGate(
        incarnation,
        GateLimits(session.scenario.concurrency, queryGracePeriod = LINGER),
        AttemptLedger(session.scenario.ledger),
    )

    private companion object {
        val FREEZE_TIME = 700.milliseconds
        val RESTART_TIME = 200.milliseconds
        val TICK_INTERVAL = 50.milliseconds
        val FLUSH_TIME = 5.milliseconds

        /** Longer than the silence limit, a reconnect and a question. */
        val LINGER = 600.milliseconds
    }
}
