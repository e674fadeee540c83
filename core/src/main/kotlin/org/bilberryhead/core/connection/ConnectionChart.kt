package org.bilberryhead.core.connection

import org.bilberryhead.core.statechart.StateChart

/** The state of a connection, at the end that opened it. */
enum class ConnectionPhase { IDLE, AWAITING_RESPONSE, LOST }

/** An event that changes the state of a connection. */
enum class ConnectionEvent { RESPONSE_AWAITED, NO_RESPONSE_AWAITED, HEARTBEAT_DUE, RECEIVE_TIMED_OUT }

/** What the end that opened the connection does when the state changes. */
enum class ConnectionAction { SEND_HEARTBEAT, CLOSE }

/** The state chart of a connection. */
object ConnectionChart {
    /** Loaded once from `statecharts/connection.yaml`. */
    val chart: StateChart<ConnectionPhase, ConnectionEvent, ConnectionAction> =
        StateChart.load("/statecharts/connection.yaml")
}
