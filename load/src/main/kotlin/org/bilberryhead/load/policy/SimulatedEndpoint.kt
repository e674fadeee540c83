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

/** Receives the messages and the work of simulated endpoints. */
interface EndpointObserver {
    /** Sends [message] of [endpoint] to the entry with index [entry]. */
    fun send(endpoint: SimulatedEndpoint, entry: Int, message: Message)

    /** Returns the time that the call behind [dispatch] takes at speed 1. */
    fun demand(dispatch: Dispatch): Duration

    /** Records that [endpoint] recordWork for [duration] on [dispatch]. */
    fun recordWork(endpoint: SimulatedEndpoint, dispatch: Dispatch, duration: Duration)
}

/**
 * An endpoint that works on some calls at the same time at a given speed, behind a real [SidecarGate].
 *
 * @property isExceptional whether the scenario's condition concerns this endpoint
 */
class SimulatedEndpoint(
    val endpoint: Endpoint,
    val stageIndex: Int,
    val isExceptional: Boolean,
    private val speed: Double,
    private val gatePolicy: GateAdmissionPolicy,
    private val time: VirtualTime,
    private val entries: Int,
    private val observer: EndpointObserver,
) {
    private class Call(val dispatch: Dispatch, val startedAt: Instant)

    private val calls = HashMap<AttemptId, Call>()
    private var runs = 0
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
        runs++
        incarnation = Incarnation("${endpoint.id}-run-$runs")
        gate = newGate()
        start()
    }

    /** Passes [event] to the gate and performs the resulting actions. Ignored while the endpoint is down. */
    fun handle(event: GateEvent) {
        if (isUp) perform(gate.handle(event, time.now))
    }

    private fun newGate() = SidecarGate(
        Incarnation("${endpoint.id}-run-$runs"),
        GateLimits(Deployment.CONCURRENCY),
        admission = GateAdmission(gatePolicy),
    )

    private fun perform(actions: List<GateAction>) {
        for (action in actions) {
            when (action) {
                is GateAction.Send -> observer.send(this, action.connection.value.toInt(), action.message)
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
        time.after(observer.demand(dispatch) * (factor / speed)) {
            endCall(call, GateEvent.EndpointResponded(dispatch.attempt, Payload.EMPTY, last = true))
        }
    }

    private fun endCall(call: Call, event: GateEvent) {
        if (!calls.remove(call.dispatch.attempt, call)) return
        observer.recordWork(this, call.dispatch, time.now - call.startedAt)
        handle(event)
    }

    private fun cancelCall(attempt: AttemptId) {
        val call = calls.remove(attempt) ?: return
        observer.recordWork(this, call.dispatch, time.now - call.startedAt)
    }

    private fun connection(entry: Int) = ConnectionId(entry.toLong())
}
