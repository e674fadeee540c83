package org.bilberryhead.protocol

import org.bilberryhead.core.connection.HeartbeatBudget
import org.bilberryhead.core.connection.MonitorTimings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timings of the connections between processes.
 *
 * @property monitor heartbeat interval and receive timeout of the client
 * @property handshakeTimeout time that client and server each wait for the first message of the other
 * @property clientSilenceTimeout time without a message after which the server closes a connection; longer than any
 *   interval between two heartbeats of the client
 * @property connectTimeout timeout for opening a connection
 * @property initialReconnectDelay delay before reconnecting after an open connection is lost; doubled after each
 *   failed attempt
 * @property maximumReconnectDelay upper limit of the doubled delay
 */
data class ProtocolTimings(
    val monitor: MonitorTimings = MonitorTimings(),
    val handshakeTimeout: Duration = 2.seconds,
    val clientSilenceTimeout: Duration = HeartbeatBudget.LONGEST_INTERVAL * 2,
    val connectTimeout: Duration = 1.seconds,
    val initialReconnectDelay: Duration = 50.milliseconds,
    val maximumReconnectDelay: Duration = 2.seconds,
)
