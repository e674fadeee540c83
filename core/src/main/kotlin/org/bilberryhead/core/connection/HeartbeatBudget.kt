package org.bilberryhead.core.connection

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Divides the network traffic that a process may use for heartbeats among its idle connections. */
object HeartbeatBudget {
    /** Traffic of one process for the heartbeats of its idle connections, in bytes per second, in both directions. */
    const val BYTES_PER_SECOND = 2_000

    /** Size of a heartbeat, its response and the TCP acknowledgement, with IP and TCP headers, in bytes. */
    const val BYTES_PER_EXCHANGE = 280

    /** Lower limit of the interval: a few connections stay within the budget even if they send this often. */
    val SHORTEST_INTERVAL: Duration = 500.milliseconds

    /** Upper limit of the interval, so that the responding end receives heartbeats this often on any connection. */
    val LONGEST_INTERVAL: Duration = 30.seconds

    /** Returns the time between two heartbeats on each of [connections] idle connections. */
    fun idleInterval(connections: Int): Duration {
        val interval = (connections * BYTES_PER_EXCHANGE).seconds / BYTES_PER_SECOND
        return interval.coerceIn(SHORTEST_INTERVAL, LONGEST_INTERVAL)
    }
}
