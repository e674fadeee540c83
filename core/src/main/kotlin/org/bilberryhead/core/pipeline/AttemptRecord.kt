package org.bilberryhead.core.pipeline

import org.bilberryhead.core.execution.AttemptAction
import org.bilberryhead.core.execution.AttemptChart
import org.bilberryhead.core.execution.AttemptEvent
import org.bilberryhead.core.execution.AttemptState
import org.bilberryhead.core.execution.FrameAssembler
import org.bilberryhead.core.message.AttemptLocation
import kotlin.time.Instant

/** One attempt of a running request: where it went, what state it is in, what has arrived of its answer. */
internal class AttemptRecord(val location: AttemptLocation, val stageIndex: Int, val sentAt: Instant) {
    val frames = FrameAssembler()
    var state: AttemptState = AttemptChart.chart.initial
        private set

    /** Whether the attempt may have reached its endpoint. */
    val mayHaveRun: Boolean get() = state != AttemptState.NOT_RUN

    /** Whether an answer can still arrive. */
    val isOpen: Boolean get() = !AttemptChart.chart.isFinal(state)

    /** Follows the attempt chart and returns the action that it prescribes. */
    fun step(event: AttemptEvent): AttemptAction? {
        val transition = AttemptChart.chart.next(state, event)
        state = transition.target
        return transition.action
    }
}
