package org.bilberryhead.core.connection

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Limits of a [ConnectionMonitor].
 *
 * @property activeInterval time without a message, while a response is awaited, after which a heartbeat is sent
 * @property receiveTimeout time without a message, while a response is awaited, after which the connection is closed
 */
data class MonitorTimings(val activeInterval: Duration = 500.milliseconds, val receiveTimeout: Duration = 2.seconds)

/**
 * Result of one step of a [ConnectionMonitor].
 *
 * @property action what to do now, or null for nothing
 * @property nextAt when the next step is due, unless the state of the connection changes before
 */
data class MonitorStep(val action: ConnectionAction?, val nextAt: Instant)

/**
 * Decides, at the end that opened a connection, when to send a heartbeat and when to close the connection because no
 * message arrives. The other end responds to each heartbeat. While a response is awaited, heartbeats follow the short
 * [MonitorTimings.activeInterval]. An idle connection sends one heartbeat per idle interval, so its loss is detected
 * only after the next heartbeat or the next request.
 *
 * Not thread-safe.
 *
 * @param firstHeartbeatAt when the first heartbeat of an idle connection is due; the caller spreads these times so that
 *   the connections don't send at the same time
 */
class ConnectionMonitor(
    openedAt: Instant,
    private var firstHeartbeatAt: Instant,
    private val timings: MonitorTimings = MonitorTimings(),
) {
    private var timeoutStart = openedAt
    private var heartbeatSentAt: Instant? = null
    private var isHeartbeatUnanswered = false

    /** The current state of the connection. */
    var phase: ConnectionPhase = ConnectionChart.chart.initial
        private set

    /**
     * Returns what to do at [now].
     *
     * @param isResponseAwaited whether this end has sent a message that the other end still has to respond to
     * @param lastReceivedAt when the latest message arrived
     * @param idleInterval time between two heartbeats while no response is awaited
     */
    fun step(isResponseAwaited: Boolean, lastReceivedAt: Instant, idleInterval: Duration, now: Instant): MonitorStep {
        recordReceived(lastReceivedAt)
        updatePhase(isResponseAwaited || isHeartbeatUnanswered, now)
        val action = when {
            phase == ConnectionPhase.AWAITING_RESPONSE && now >= timeoutStart + timings.receiveTimeout ->
                applyEvent(ConnectionEvent.RECEIVE_TIMED_OUT)
            now >= nextHeartbeatAt(idleInterval) -> sendHeartbeat(now)
            else -> null
        }
        return MonitorStep(action, nextStepAt(idleInterval))
    }

    private fun recordReceived(lastReceivedAt: Instant) {
        val sentAt = heartbeatSentAt
        if (sentAt != null && lastReceivedAt >= sentAt) isHeartbeatUnanswered = false
        timeoutStart = maxOf(timeoutStart, lastReceivedAt)
    }

    private fun updatePhase(isAwaited: Boolean, now: Instant) {
        if (phase == ConnectionPhase.IDLE && isAwaited) timeoutStart = now
        applyEvent(if (isAwaited) ConnectionEvent.RESPONSE_AWAITED else ConnectionEvent.NO_RESPONSE_AWAITED)
    }

    private fun sendHeartbeat(now: Instant): ConnectionAction? {
        if (phase == ConnectionPhase.IDLE) timeoutStart = now
        heartbeatSentAt = now
        isHeartbeatUnanswered = true
        return applyEvent(ConnectionEvent.HEARTBEAT_DUE)
    }

    private fun nextStepAt(idleInterval: Duration): Instant {
        val heartbeatAt = nextHeartbeatAt(idleInterval)
        if (phase != ConnectionPhase.AWAITING_RESPONSE) return heartbeatAt
        return minOf(heartbeatAt, timeoutStart + timings.receiveTimeout)
    }

    /** Heartbeats also carry the version of the tables, so other messages do not postpone an idle heartbeat. */
    private fun nextHeartbeatAt(idleInterval: Duration): Instant {
        val sentAt = heartbeatSentAt
        val idleAt = if (sentAt == null) firstHeartbeatAt else sentAt + idleInterval
        if (phase != ConnectionPhase.AWAITING_RESPONSE) return idleAt
        val lastActivity = if (sentAt == null) timeoutStart else maxOf(timeoutStart, sentAt)
        return minOf(idleAt, lastActivity + timings.activeInterval)
    }

    private fun applyEvent(event: ConnectionEvent): ConnectionAction? {
        val transition = ConnectionChart.chart.next(phase, event)
        phase = transition.target
        return transition.action
    }
}
