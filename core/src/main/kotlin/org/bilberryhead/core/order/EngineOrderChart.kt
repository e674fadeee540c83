package org.bilberryhead.core.order

import org.bilberryhead.core.statechart.StateChart

/** Where a loop stands. */
enum class EngineOrderState {
    STARTING,
    TAKING,
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

/** What the chart distinguishes of an [EngineOrderEvent]. */
enum class EngineOrderTrigger {
    START,
    WANTED,
    UNWANTED,
    TAKEN,
    STORE_FAILED,
    CONFIRMED,
    LAPSED,
    SUPERSEDED,
    EQUAL,
    DIFFERENT,
    LOAD_LIMITED,
    ENGINE_SILENT,
    DONE,
    REFUSED,
    FAILED,
    WITHHELD,
    TIMER_DUE,
    LEAVE,
}

/** What the chart asks the loop to do. */
enum class EngineOrderStep {
    TAKE_NUMBER,
    READ_ENGINE,
    READ_NUMBER,
    SEND_ORDER,
    WAIT_FOR_SLOT,
    BACK_OFF,
    WAIT_TO_RECONCILE,
    REST,
    STOP,
}

/** The chart that every loop follows. */
object EngineOrderChart {
    /** Read once from its file. */
    val chart: StateChart<EngineOrderState, EngineOrderTrigger, EngineOrderStep> =
        StateChart.load("/statecharts/engine-order.yaml")
}
