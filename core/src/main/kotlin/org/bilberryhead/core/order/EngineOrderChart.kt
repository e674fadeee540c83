package org.bilberryhead.core.order

import org.bilberryhead.core.statechart.StateChart

/** State of an [EngineReconciler]. `statecharts/engine-order.yaml` describes each state. */
enum class EngineOrderState {
    STARTING,
    ACQUIRING,
    WAITING_FOR_NUMBER,
    SETTLED,
    READING,
    WAITING_FOR_LOAD,
    CONFIRMING,
    ORDERING,
    VERIFYING,
    CHECKING_REFUSAL,
    WAITING_TO_RETRY,
    SUPERSEDED,
    STOPPED,
}

/** Event of the chart. An [EngineReconciler] derives it from an [EngineOrderEvent] and the state of its lease. */
enum class EngineOrderTrigger {
    START,
    DESIRED_STATE_CHANGED,
    DESIRED_STATE_REMOVED,
    NUMBER_ACQUIRED,
    STORE_FAILED,
    NUMBER_CONFIRMED,
    NUMBER_EXPIRED,
    NUMBER_SUPERSEDED,
    STATE_MATCHES,
    STATE_DIFFERS,
    LOAD_DEFERRED,
    ENGINE_READ_FAILED,
    ORDER_DONE,
    ORDER_REFUSED,
    ORDER_FAILED,
    ORDER_WITHHELD,
    TIMER_DUE,
    LEAVE,
}

/** Action of the chart. An [EngineReconciler] turns it into an [EngineOrderAction]. */
enum class EngineOrderStep {
    ACQUIRE_NUMBER,
    READ_ENGINE,
    READ_NUMBER,
    SEND_ORDER,
    WAIT_FOR_LOAD_SLOT,
    WAIT_TO_RETRY,
    WAIT_TO_RECONCILE,
    IGNORE_PENDING_RESULT,
    STOP,
}

/** The state chart of every [EngineReconciler]. */
object EngineOrderChart {
    /** The chart, loaded from its resource file on first use. */
    val chart: StateChart<EngineOrderState, EngineOrderTrigger, EngineOrderStep> =
        StateChart.load("/statecharts/engine-order.yaml")
}
