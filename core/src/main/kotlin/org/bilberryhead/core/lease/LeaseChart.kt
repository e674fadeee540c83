package org.bilberryhead.core.lease

import org.bilberryhead.core.statechart.StateChart

/** The state of a lease as its holder knows it. */
enum class LeaseState { NONE, HELD, EXPIRED, LOST }

/** An event that changes the state of a lease. */
enum class LeaseEvent { ACQUIRED, CONFIRMED, EXPIRED, SUPERSEDED }

/** What the holder does when the state of the lease changes. */
enum class LeaseAction { EXTEND, CONFIRM, STOP_ORDERS }

/** The state chart of a lease. */
object LeaseChart {
    /** Loaded once from `statecharts/lease.yaml`. */
    val chart: StateChart<LeaseState, LeaseEvent, LeaseAction> = StateChart.load("/statecharts/lease.yaml")
}
