package org.bilberryhead.core.lease

import org.bilberryhead.core.statechart.StateChart

/** What the holder of a lease knows of it. */
enum class LeaseState { NONE, HELD, LAPSED, LOST }

/** What can happen to a lease. */
enum class LeaseEvent { TAKEN, CONFIRMED, LAPSED, SUPERSEDED }

/** What the holder does about it. */
enum class LeaseAction { EXTEND, CONFIRM, STOP_ORDERS }

/** The chart that every lease follows. */
object LeaseChart {
    /** Read once from its file. */
    val chart: StateChart<LeaseState, LeaseEvent, LeaseAction> = StateChart.load("/statecharts/lease.yaml")
}
