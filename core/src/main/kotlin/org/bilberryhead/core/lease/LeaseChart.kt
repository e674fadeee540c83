package org.bilberryhead.core.lease

import org.bilberryhead.core.statechart.StateChart

/** What the holder of a lease knows of it. */
enum class LeaseState { NONE, HELD, EXPIRED, LOST }

/** What can happen to a lease. */
enum class LeaseEvent { ACQUIRED, CONFIRMED, EXPIRED, SUPERSEDED }

/** What the holder does about it. */
enum class LeaseAction { EXTEND, CONFIRM, STOP_ORDERS }

/** The chart that every lease follows. */
object LeaseChart {
    /** Read once from its file. */
    val chart: StateChart<LeaseState, LeaseEvent, LeaseAction> = StateChart.load("/statecharts/lease.yaml")
}
