package org.bilberryhead.protocol

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timings of the connections between processes.
 *
 * @property heartbeatInterval how often each end sends a heartbeat
 * @property silenceLimit time without a message after which a connection is given up
 * @property connectTimeout time allowed for opening a connection
 * @property reconnectDelay least pause between two tries to connect; doubled after each failure
 * @property maximumReconnectDelay longest such pause
 */
data class ProtocolTimings(
    val heartbeatInterval: Duration = 500.milliseconds,
    val silenceLimit: Duration = 2.seconds,
    val connectTimeout: Duration = 1.seconds,
    val reconnectDelay: Duration = 50.milliseconds,
    val maximumReconnectDelay: Duration = 2.seconds,
)
