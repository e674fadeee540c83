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

/**
 * A model of an endpoint that runs every call without checking for duplicates, and records every effect. It keeps
 * running when its sidecar is killed.
 */
internal class ModelEndpoint(private val session: ModelSession, private val sidecar: ModelSidecar) {
    private val calls = HashMap<AttemptId, Call>()

    fun run(dispatch: Dispatch) {
        val call = Call(dispatch)
        calls[dispatch.attempt] = call
        session.reach(Step.RUN_STARTED, Participants(null, sidecar, null), "endpoint starts ${dispatch.attempt}")
        session.loop.after(EFFECT_DELAY) { takeEffect(call) }
    }

    fun cancel(attempt: AttemptId) {
        calls.remove(attempt)?.isCancelled = true
    }

    /** Applies [fault] to every call in progress that has no fault yet. */
    fun inject(fault: Fault) = calls.values.forEach { it.fault = it.fault ?: fault }

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
            Fault.ENDPOINT_STRAGGLES -> if (!call.isDelayed) {
                call.isDelayed = true
                session.loop.after(STRAGGLER_DELAY) { takeEffect(call) }
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
        session.reach(
            Step.EFFECT_DONE,
            Participants(null, sidecar, null),
            "${dispatch.attempt} takes effect at its endpoint",
        )
        session.loop.after(FRAME_INTERVAL) { respond(call, 0) }
    }

    private fun respond(call: Call, partIndex: Int) {
        val attempt = call.dispatch.attempt
        when {
            call.isCancelled || call.fault == Fault.ENDPOINT_SILENT -> return
            call.fault == Fault.ENDPOINT_FAILS_AFTER_EFFECT -> {
                report(GateEvent.EndpointFailed(attempt, "failed after its effect"))
                return
            }
        }
        val parts = stageResponse(call.dispatch)
        val last = partIndex == parts.lastIndex
        report(GateEvent.EndpointResponded(attempt, Payload.ofText(parts[partIndex]), last))
        if (!last) session.loop.after(FRAME_INTERVAL) { respond(call, partIndex + 1) }
    }

    private fun report(event: GateEvent) = sidecar.process.after(Duration.ZERO) { sidecar.handle(event) }

    private class Call(val dispatch: Dispatch) {
        var fault: Fault? = null
        var isCancelled = false
        var isDelayed = false
    }

    companion object {
        val EFFECT_DELAY = 10.milliseconds
        val FRAME_INTERVAL = 4.milliseconds
        val STRAGGLER_DELAY = 3000.milliseconds

        /** Returns the parts of a stage's response, which contain the input and the name of the stage. */
        private fun stageResponse(dispatch: Dispatch): List<String> =
            listOf(dispatch.payload.text(), ">", dispatch.stage.value)
    }
}
