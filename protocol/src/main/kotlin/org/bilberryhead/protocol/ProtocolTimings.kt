package org.bilberryhead.protocol

import org.bilberryhead.core.connection.HeartbeatBudget
import org.bilberryhead.core.connection.MonitorTimings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timings of the connections between processes.
 *
 * @property watch when the end that opened a connection asks for a sign of life, and when it gives the connection up
 * @property helloLimit time allowed for the first message of either end
 * @property clientSilenceLimit time without a message after which the accepting end closes a connection; longer than
 *   any pause between two heartbeats of the other end
 * @property connectTimeout time allowed for opening a connection
 * @property reconnectDelay least pause between two tries to connect; doubled after each failure
 * @property maximumReconnectDelay longest such pause
 */
data class ProtocolTimings(
    val watch: MonitorTimings = MonitorTimings(),
    val helloLimit: Duration = 2.seconds,
    val clientSilenceLimit: Duration = HeartbeatBudget.LONGEST_INTERVAL * 2,
    val connectTimeout: Duration = 1.seconds,
    val reconnectDelay: Duration = 50.milliseconds,
    val maximumReconnectDelay: Duration = 2.seconds,
)
