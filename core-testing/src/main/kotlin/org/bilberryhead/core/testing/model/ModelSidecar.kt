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

/** A model of a sidecar process that runs a real gate. */
internal class ModelSidecar(private val session: ModelSession, val endpoint: Endpoint) {
    private val modelEndpoint = ModelEndpoint(session, this)
    private val connections = LinkedHashMap<ConnectionId, ModelConnection>()
    private val receivedAfterLeaveRequest = mutableSetOf<AttemptId>()
    private var incarnations = 0
    private var isLeaveRequested = false
    private var gate = newGate()
    val process = ModelProcess(session.loop)
    val name = "sidecar-${endpoint.id}"

    /** The current incarnation of the process. */
    val incarnation: Incarnation get() = Incarnation("${endpoint.id}-run$incarnations")

    val isLeaving: Boolean get() = gate.status.refusesNewWork

    fun start() {
        incarnations++
        isLeaveRequested = false
        gate = newGate()
        process.start()
        handle(GateEvent.Ready)
        tick()
    }

    fun kill() {
        session.log("$name is killed")
        terminateAndRestart()
    }

    fun freeze() {
        process.freeze()
        connections.values.forEach { it.checkSilenceAfterTimeout() }
        session.loop.after(FREEZE_TIME) { process.resume() }
    }

    fun leave() = process.after(0.milliseconds) {
        if (isLeaveRequested) return@after
        isLeaveRequested = true
        session.log("$name receives the request to leave")
        handle(GateEvent.LeaveRequested)
    }

    fun inject(fault: Fault) = modelEndpoint.inject(fault)

    /** Handles a connection that an entry has opened. */
    fun onConnectionOpened(connection: ModelConnection) {
        connections[connection.id] = connection
        handle(GateEvent.ConnectionOpened(connection.id))
    }

    fun onConnectionClosed(connection: ModelConnection) {
        connections.remove(connection.id)
        handle(GateEvent.ConnectionClosed(connection.id))
    }

    fun onMessage(connection: ModelConnection, message: Message) {
        if (message !is AttemptMessage) return
        session.recordArrival(message, Participants(connection.entry, this, connection), name)
        if (message is Dispatch && isLeaveRequested) receivedAfterLeaveRequest += message.attempt
        handle(GateEvent.MessageArrived(connection.id, message))
    }

    fun handle(event: GateEvent) = gate.handle(event, session.loop.clock.now()).forEach(::perform)

    private fun perform(action: GateAction) {
        when (action) {
            is GateAction.Send -> send(action)
            is GateAction.Run -> run(action.dispatch)
            is GateAction.CancelRun -> modelEndpoint.cancel(action.attempt)
            GateAction.Stop -> {
                session.reach(Step.SIDECAR_DRAINED, Participants(null, this, null), "$name is drained")
                process.after(FLUSH_TIME) { terminateAndRestart() }
            }
        }
    }

    private fun run(dispatch: Dispatch) {
        if (dispatch.attempt in receivedAfterLeaveRequest) {
            session.recordViolation("$name ran ${dispatch.attempt}, received after the request to leave")
        }
        modelEndpoint.run(dispatch)
    }

    private fun send(action: GateAction.Send) {
        val connection = connections[action.connection] ?: return
        connection.toEntry.send(action.message)
        val participants = Participants(connection.entry, this, connection)
        when (val message = action.message) {
            is AttemptMessage -> session.recordSent(message, participants, name, connection.entry.name)
            is Leaving -> session.reach(Step.LEAVING_SENT, participants, "$name > ${connection.entry.name}: leaving")
            else -> Unit
        }
    }

    private fun terminateAndRestart() {
        process.kill()
        connections.values.toList().forEach { it.reset() }
        connections.clear()
        receivedAfterLeaveRequest.clear()
        session.loop.after(RESTART_DELAY) { if (!process.isAlive) start() }
    }

    private fun tick() {
        handle(GateEvent.Tick)
        process.after(TICK_INTERVAL, ::tick)
    }

    private fun newGate() = SidecarGate(
        incarnation,
        GateLimits(session.scenario.concurrency, queryGracePeriod = QUERY_GRACE_PERIOD),
        AttemptLedger(session.scenario.ledger),
    )

    private companion object {
        val FREEZE_TIME = 700.milliseconds
        val RESTART_DELAY = 200.milliseconds
        val TICK_INTERVAL = 50.milliseconds
        val FLUSH_TIME = 5.milliseconds

        /** Longer than the silence timeout, a reconnect and a query together. */
        val QUERY_GRACE_PERIOD = 600.milliseconds
    }
}
