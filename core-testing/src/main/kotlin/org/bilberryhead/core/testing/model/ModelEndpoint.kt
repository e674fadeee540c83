package org.bilberryhead.core.testing.model

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.gate.GateEvent
import org.bilberryhead.core.message.Dispatch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Work that took effect at an endpoint. */
internal data class Effect(
    val at: Instant,
    val endpoint: EndpointId,
    val request: RequestId,
    val stage: String,
    val idempotent: Boolean,
)

/** An endpoint that checks nothing and records every effect. It runs on when its sidecar dies. */
internal class ModelEndpoint(private val session: ModelSession, private val sidecar: ModelSidecar) {
    private val calls = HashMap<AttemptId, Call>()

    fun run(dispatch: Dispatch) {
        val call = Call(dispatch)
        calls[dispatch.attempt] = call
        session.arrive(Step.RUN_STARTED, Place(null, sidecar, null), "runs ${dispatch.attempt}")
        session.loop.after(EFFECT_TIME) { takeEffect(call) }
    }

    fun cancel(attempt: AttemptId) {
        calls.remove(attempt)?.isCancelled = true
    }

    /** Breaks every call that has not answered. */
    fun strike(fault: Fault) = calls.values.forEach { it.fault = it.fault ?: fault }

    private fun takeEffect(call: Call) {
        if (call.isCancelled) return
        when (call.fault) {
            Fault.ENDPOINT_REFUSES -> {
                report(GateEvent.EndpointDidNotRun(call.dispatch.attempt, "connection refused"))
                return
            }
            Fault.ENDPOINT_FAILS_BEFORE_EFFECT -> {
                report(GateEvent.EndpointFailed(call.dispatch.attempt, "failed before its effect"))
                return
            }
            Fault.ENDPOINT_STRAGGLES -> if (!call.isLate) {
                call.isLate = true
                session.loop.after(STRAGGLER_TIME) { takeEffect(call) }
                return
            }
            else -> Unit
        }
        val dispatch = call.dispatch
        session.effects +=
            Effect(
                session.loop.clock.now(),
                sidecar.endpoint.id,
                dispatch.request,
                dispatch.stage.value,
                dispatch.idempotent,
            )
        session.arrive(Step.EFFECT_DONE, Place(null, sidecar, null), "took effect ${dispatch.attempt}")
        session.loop.after(FRAME_TIME) { answer(call, 0) }
    }

    private fun answer(call: Call, number: Int) {
        val attempt = call.dispatch.attempt
        when {
            call.isCancelled || call.fault == Fault.ENDPOINT_SILENT -> return
            call.fault == Fault.ENDPOINT_FAILS_AFTER_EFFECT -> {
                report(GateEvent.EndpointFailed(attempt, "failed after its effect"))
                return
            }
        }
        val parts = stageAnswer(call.dispatch)
        val last = number == parts.lastIndex
        report(GateEvent.EndpointResponded(attempt, Payload.ofText(parts[number]), last))
        if (!last) session.loop.after(FRAME_TIME) { answer(call, number + 1) }
    }

    private fun report(event: GateEvent) = sidecar.process.after(Duration.ZERO) { sidecar.handle(event) }

    private class Call(val dispatch: Dispatch) {
        var fault: Fault? = null
        var isCancelled = false
        var isLate = false
    }

    companion object {
        val EFFECT_TIME = 10.milliseconds
        val FRAME_TIME = 4.milliseconds
        val STRAGGLER_TIME = 3000.milliseconds

        /** The parts of the answer of a stage, which name the input and the stage. */
        private fun stageAnswer(dispatch: Dispatch): List<String> =
            listOf(dispatch.payload.text(), ">", dispatch.stage.value)
    }
}
