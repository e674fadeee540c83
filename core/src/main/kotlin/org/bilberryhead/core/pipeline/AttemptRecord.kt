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
 * One attempt of a running request: where it went, what state it is in, what has arrived of its answer.
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

    /** Whether the dispatch is the only message sent so far. */
    var isOnlyDispatched = true

    /** Whether the sidecar said that the dispatch never reached it, which tells nothing against the endpoint. */
    var wasNeverSeen = false

    /** Where the attempt is moved or is to be moved. */
    var moveTarget: AttemptLocation? = null

    /** Whether the attempt may have reached its endpoint. */
    val mayHaveRun: Boolean get() = state != AttemptState.NOT_RUN

    /** Whether an answer can still arrive. */
    val isOpen: Boolean get() = !AttemptChart.chart.isFinal(state)

    /** How the attempt ended, as far as the choice of later endpoints cares. */
    val result: AttemptResult
        get() = when (state) {
            AttemptState.FINISHED -> AttemptResult.ANSWERED
            AttemptState.NOT_RUN -> AttemptResult.REFUSED
            AttemptState.ABANDONED -> AttemptResult.ABANDONED
            else -> AttemptResult.FAILED
        }

    /** Whether the sidecar was asked and has not answered. */
    val awaitsEvidence: Boolean
        get() = when (state) {
            AttemptState.ASKING, AttemptState.RESUMING, AttemptState.MOVING -> true
            else -> false
        }

    /** Follows the attempt chart and returns the action that it prescribes. */
    fun step(event: AttemptEvent): AttemptAction? {
        val transition = AttemptChart.chart.next(state, event)
        state = transition.target
        return transition.action
    }
}
