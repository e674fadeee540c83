package org.bilberryhead.core.connection

import org.bilberryhead.core.statechart.StateChart

/** What one end knows of a connection that it opened. */
enum class ConnectionPhase { IDLE, AWAITING_ANSWER, LOST }

/** What can happen to an open connection. */
enum class ConnectionEvent { ANSWER_AWAITED, NOTHING_AWAITED, HEARTBEAT_DUE, RECEIVE_TIMED_OUT }

/** What to do about a connection. */
enum class ConnectionAction { SEND_HEARTBEAT, CLOSE }

/** The chart that every connection follows. */
object ConnectionChart {
    /** Read once from its file. */
    val chart: StateChart<ConnectionPhase, ConnectionEvent, ConnectionAction> =
        StateChart.load("/statecharts/connection.yaml")
}
