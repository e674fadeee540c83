package org.bilberryhead.load.policy

import org.bilberryhead.core.admission.GateAdmission
import org.bilberryhead.core.admission.GateAdmissionPolicy
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.gate.ConnectionId
import org.bilberryhead.core.gate.GateAction
import org.bilberryhead.core.gate.GateEvent
import org.bilberryhead.core.gate.GateLimits
import org.bilberryhead.core.gate.SidecarGate
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.tables.Endpoint
import kotlin.time.Duration
import kotlin.time.Instant

/** Connects simulated endpoints to the entries, sets their service times and records their work. */
interface EndpointEnvironment {
    /** Sends [message] of [endpoint] to the entry with index [entry]. */
    fun send(endpoint: SimulatedEndpoint, entry: Int, message: Message)

    /** Returns the service time, at speed 1, of the call that [dispatch] starts. */
    fun serviceTime(dispatch: Dispatch): Duration

    /** Records that [endpoint] worked for [duration] on [dispatch]. */
    fun recordWork(endpoint: SimulatedEndpoint, dispatch: Dispatch, duration: Duration)
}

/**
 * An endpoint that executes calls concurrently at a given speed, behind a real [SidecarGate].
 *
 * @property isExceptional whether the scenario's condition applies to this endpoint
 */
class SimulatedEndpoint(
    val endpoint: Endpoint,
    val stageIndex: Int,
    val isExceptional: Boolean,
    private val speed: Double,
    private val gatePolicy: GateAdmissionPolicy,
    private val time: VirtualTime,
    private val entries: Int,
    private val environment: EndpointEnvironment,
) {
    private class Call(val dispatch: Dispatch, val startedAt: Instant)

    private val calls = HashMap<AttemptId, Call>()
    private var restarts = 0
    private var gate = newGate()

    /** Current condition of the endpoint; null if it works normally. */
    var condition: EndpointCondition? = null

    /** Current incarnation of the sidecar. */
    var incarnation = Incarnation("${endpoint.id}-run-0")
        private set

    /** Whether the sidecar is reachable. */
    val isUp: Boolean get() = condition != EndpointCondition.DOWN

    /** Load that the sidecar reports. */
    val load: LoadReport get() = gate.status.load

    /** Opens the connections of all entries. */
    fun start() {
        perform(gate.handle(GateEvent.Ready, time.now))
        for (entry in 0 until entries) perform(gate.handle(GateEvent.ConnectionOpened(connection(entry)), time.now))
    }

    /** Stops the sidecar; its calls are lost. */
    fun stop() {
        condition = EndpointCondition.DOWN
        calls.clear()
    }

    /** Starts the sidecar again with a new incarnation. */
    fun restart() {
        condition = null
        restarts++
        incarnation = Incarnation("${endpoint.id}-run-$restarts")
        gate = newGate()
        start()
    }

    /** Passes [event] to the gate and performs the resulting actions. Ignored while the endpoint is down. */
    fun handle(event: GateEvent) {
        if (isUp) perform(gate.handle(event, time.now))
    }

    private fun newGate() = SidecarGate(
        Incarnation("${endpoint.id}-run-$restarts"),
        GateLimits(Deployment.CONCURRENCY),
        admission = GateAdmission(gatePolicy),
    )

    private fun perform(actions: List<GateAction>) {
        for (action in actions) {
            when (action) {
                is GateAction.Send -> environment.send(this, action.connection.value.toInt(), action.message)
                is GateAction.Run -> startCall(action.dispatch)
                is GateAction.CancelRun -> cancelCall(action.attempt)
                GateAction.Stop -> Unit
            }
        }
    }

    private fun startCall(dispatch: Dispatch) {
        val call = Call(dispatch, time.now)
        calls[dispatch.attempt] = call
        if (condition == EndpointCondition.FAILS_FAST) {
            time.after(Scenario.FAILURE_TIME) {
                endCall(call, GateEvent.EndpointFailed(dispatch.attempt, "failed by an injected fault"))
            }
            return
        }
        val factor = if (condition == EndpointCondition.SLOW) Scenario.STRAGGLER_FACTOR else 1.0
        time.after(environment.serviceTime(dispatch) * (factor / speed)) {
            endCall(call, GateEvent.EndpointResponded(dispatch.attempt, Payload.EMPTY, last = true))
        }
    }

    private fun endCall(call: Call, event: GateEvent) {
        if (!calls.remove(call.dispatch.attempt, call)) return
        environment.recordWork(this, call.dispatch, time.now - call.startedAt)
        handle(event)
    }

    private fun cancelCall(attempt: AttemptId) {
        val call = calls.remove(attempt) ?: return
        environment.recordWork(this, call.dispatch, time.now - call.startedAt)
    }

    private fun connection(entry: Int) = ConnectionId(entry.toLong())
}
