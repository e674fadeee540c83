package org.bilberryhead.core.execution

import org.bilberryhead.core.statechart.StateChart

/** The state of an attempt as its entry knows it; `statecharts/attempt.yaml` describes each one. */
enum class AttemptState {
    SENT,
    ACCEPTED,
    RECEIVING,
    QUERYING,
    RESUMING,
    MOVING,
    FINISHED,
    NOT_RUN,
    UNKNOWN,
    ABANDONED,
}

/** An event that changes the state of an attempt at its entry. */
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

/** What an entry does when an attempt changes its state. */
enum class AttemptAction {
    RETRY,
    RETRY_IF_IDEMPOTENT,
    RECEIVE_FRAME,
    COMPLETE_STAGE,
    QUERY,
    RECORD_MOVE,
    FOLLOW_MOVE,
    CANCEL,
}

/** The state chart of an attempt at its entry. */
object AttemptChart {
    /** Loaded once from `statecharts/attempt.yaml`. */
    val chart: StateChart<AttemptState, AttemptEvent, AttemptAction> = StateChart.load("/statecharts/attempt.yaml")
}
