package org.bilberryhead.core.connection

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Limits of a [ConnectionMonitor].
 *
 * @property activeInterval time without a message, while an answer is awaited, after which a heartbeat asks for one
 * @property receiveTimeout time without a message, while an answer is awaited, after which the connection is given up
 */
data class MonitorTimings(val activeInterval: Duration = 500.milliseconds, val receiveTimeout: Duration = 2.seconds)

/**
 * What to do about a connection at one moment.
 *
 * @property action null for nothing
 * @property nextAt when to look again, if nothing happens before
 */
data class MonitorStep(val action: ConnectionAction?, val nextAt: Instant)

/**
 * Decides when the end that opened a connection sends a heartbeat, which the other end answers, and when it gives the
 * connection up because it went silent. A connection on which an answer is awaited is watched closely. An idle one
 * costs a heartbeat each idle interval only, and its silence is noticed with the next heartbeat or the next work.
 *
 * Not safe for use by several threads.
 *
 * @param firstHeartbeatAt when the first heartbeat of an idle connection is due; spread over connections by the caller
 */
class ConnectionMonitor(
    openedAt: Instant,
    private var firstHeartbeatAt: Instant,
    private val timings: MonitorTimings = MonitorTimings(),
) {
    private var silentSince = openedAt
    private var heartbeatSentAt: Instant? = null
    private var isHeartbeatUnanswered = false

    /** What is known of the connection. */
    var phase: ConnectionPhase = ConnectionChart.chart.initial
        private set

    /**
     * Returns what to do at [now].
     *
     * @param isAnswerAwaited whether work that this end sent waits for an answer
     * @param heardAt when the last message arrived
     * @param idleInterval time between two heartbeats while nothing is awaited
     */
    fun step(isAnswerAwaited: Boolean, heardAt: Instant, idleInterval: Duration, now: Instant): MonitorStep {
        hear(heardAt)
        expect(isAnswerAwaited || isHeartbeatUnanswered, now)
        val action = when {
            phase == ConnectionPhase.AWAITING_ANSWER && now >= silentSince + timings.receiveTimeout ->
                apply(ConnectionEvent.RECEIVE_TIMED_OUT)
            now >= heartbeatAt(idleInterval) -> sendHeartbeat(now)
            else -> null
        }
        return MonitorStep(action, nextAt(idleInterval))
    }

    private fun hear(heardAt: Instant) {
        val sentAt = heartbeatSentAt
        if (sentAt != null && heardAt >= sentAt) isHeartbeatUnanswered = false
        silentSince = maxOf(silentSince, heardAt)
    }

    private fun expect(isAwaited: Boolean, now: Instant) {
        if (phase == ConnectionPhase.IDLE && isAwaited) silentSince = now
        apply(if (isAwaited) ConnectionEvent.ANSWER_AWAITED else ConnectionEvent.NOTHING_AWAITED)
    }

    private fun sendHeartbeat(now: Instant): ConnectionAction? {
        if (phase == ConnectionPhase.IDLE) silentSince = now
        heartbeatSentAt = now
        isHeartbeatUnanswered = true
        return apply(ConnectionEvent.HEARTBEAT_DUE)
    }

    private fun nextAt(idleInterval: Duration): Instant {
        val heartbeatAt = heartbeatAt(idleInterval)
        if (phase != ConnectionPhase.AWAITING_ANSWER) return heartbeatAt
        return minOf(heartbeatAt, silentSince + timings.receiveTimeout)
    }

    /** Heartbeats also show the version of the tables, so that other messages do not put them off. */
    private fun heartbeatAt(idleInterval: Duration): Instant {
        val sentAt = heartbeatSentAt
        val idleAt = if (sentAt == null) firstHeartbeatAt else sentAt + idleInterval
        if (phase != ConnectionPhase.AWAITING_ANSWER) return idleAt
        val lastSign = if (sentAt == null) silentSince else maxOf(silentSince, sentAt)
        return minOf(idleAt, lastSign + timings.activeInterval)
    }

    private fun apply(event: ConnectionEvent): ConnectionAction? {
        val transition = ConnectionChart.chart.next(phase, event)
        phase = transition.target
        return transition.action
    }
}
