package org.bilberryhead.core.execution

import org.bilberryhead.core.statechart.StateChart

/** What an entry knows of an attempt. */
enum class AttemptState {
    SENT,
    ACCEPTED,
    RECEIVING,
    ASKING,
    RESUMING,
    MOVING,
    FINISHED,
    NOT_RUN,
    UNKNOWN,
    ABANDONED,
}

/** What can happen to an attempt, as its entry sees it. */
enum class AttemptEvent {
    NOT_WRITTEN,
    FRAME,
    LAST_FRAME,
    REFUSED,
    MOVABLE,
    MOVED,
    FAILED,
    RUNNING,
    FORGOTTEN,
    CONNECTION_LOST,
    CONNECTION_RESTORED,
    ABANDON,
}

/** What an entry does about an event of an attempt. */
enum class AttemptAction { RETRY, RETRY_IF_IDEMPOTENT, TAKE_FRAME, COMPLETE_STAGE, ASK, MOVE, FOLLOW, CANCEL }

/** The chart that every attempt follows. */
object AttemptChart {
    /** Read once from its file. */
    val chart: StateChart<AttemptState, AttemptEvent, AttemptAction> = StateChart.load("/statecharts/attempt.yaml")
}
