package org.bilberryhead.core.connection

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Divides what a process may send and receive for heartbeats over its connections. */
object HeartbeatBudget {
    /** Bytes that one process spends on the heartbeats of its idle connections, both ways, in one second. */
    const val BYTES_PER_SECOND = 2_000

    /** Bytes of a heartbeat, its answer and the acknowledgement of TCP, with IP and TCP headers. */
    const val BYTES_PER_EXCHANGE = 280

    /** Interval at which few connections need no saving. */
    val SHORTEST_INTERVAL: Duration = 500.milliseconds

    /** Interval at which an end that only answers may still expect a heartbeat, whatever the number of connections. */
    val LONGEST_INTERVAL: Duration = 30.seconds

    /** Returns the time between two heartbeats on each of [connections] idle connections. */
    fun idleInterval(connections: Int): Duration {
        val interval = (connections * BYTES_PER_EXCHANGE).seconds / BYTES_PER_SECOND
        return interval.coerceIn(SHORTEST_INTERVAL, LONGEST_INTERVAL)
    }
}
