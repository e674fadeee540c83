package org.bilberryhead.core.pipeline

import org.bilberryhead.core.execution.AttemptAction
import org.bilberryhead.core.execution.AttemptChart
import org.bilberryhead.core.execution.AttemptEvent
import org.bilberryhead.core.execution.AttemptState
import org.bilberryhead.core.execution.FrameAssembler
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.routing.AttemptResult
import kotlin.time.Instant

/**
 * One attempt of a running request: its location, its state, and the part of its response that has arrived.
 *
 * @property isShared whether another request may have sent the same attempt, under the same ticket
 */
internal class AttemptRecord(
    val location: AttemptLocation,
    val stageIndex: Int,
    val sentAt: Instant,
    val isShared: Boolean,
) {
    val frames = FrameAssembler()
    var state: AttemptState = AttemptChart.chart.initial
        private set

    /** Whether the dispatch is the only message that this process has sent about the attempt so far. */
    var hasSentOnlyDispatch = true

    /** Whether the sidecar reported that the dispatch never arrived there; the endpoint then did not fail. */
    var neverReachedSidecar = false

    /** The location that the attempt has been moved to or is being moved to; null when it is not moved. */
    var moveTarget: AttemptLocation? = null

    /** Whether the attempt may have reached its endpoint. */
    val mayHaveRun: Boolean get() = state != AttemptState.NOT_RUN

    /** Whether a response can still arrive. */
    val isOpen: Boolean get() = !AttemptChart.chart.isFinal(state)

    /** How the attempt ended, as input for the selection of later endpoints. */
    val result: AttemptResult
        get() = when (state) {
            AttemptState.FINISHED -> AttemptResult.ANSWERED
            AttemptState.NOT_RUN -> AttemptResult.REFUSED
            AttemptState.ABANDONED -> AttemptResult.ABANDONED
            else -> AttemptResult.FAILED
        }

    /** Whether a status request to the sidecar is unanswered; it is then repeated. */
    val awaitsStatus: Boolean
        get() = when (state) {
            AttemptState.QUERYING, AttemptState.RESUMING, AttemptState.MOVING -> true
            else -> false
        }

    /** Moves the attempt to its next state in [AttemptChart] and returns the action of that transition, if any. */
    fun applyEvent(event: AttemptEvent): AttemptAction? {
        val transition = AttemptChart.chart.next(state, event)
        state = transition.target
        return transition.action
    }
}
