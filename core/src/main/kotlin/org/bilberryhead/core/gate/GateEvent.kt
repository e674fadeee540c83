package org.bilberryhead.core.gate

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.message.Message

/** Identifies an open connection between an entry and a sidecar. */
@JvmInline
value class ConnectionId(val value: Long)

/** An event that a [SidecarGate] handles. */
sealed interface GateEvent {
    /** A [message] about an attempt arrived on [connection]. */
    data class MessageArrived(val connection: ConnectionId, val message: AttemptMessage) : GateEvent

    /** A dispatch arrived while the message queue was full. It does not run, so [dispatch] has no payload. */
    data class MessageQueueFull(val connection: ConnectionId, val dispatch: Dispatch) : GateEvent

    /** A connection to an entry was opened. */
    data class ConnectionOpened(val connection: ConnectionId) : GateEvent

    /** A connection was closed. */
    data class ConnectionClosed(val connection: ConnectionId) : GateEvent

    /** The endpoint produced a part of its response; [last] marks the end of the response. */
    data class EndpointResponded(val attempt: AttemptId, val payload: Payload, val last: Boolean) : GateEvent

    /** The attempt failed before the endpoint can have started it. */
    data class EndpointDidNotRun(val attempt: AttemptId, val detail: String) : GateEvent

    /** The attempt failed after the endpoint may have started it. */
    data class EndpointFailed(val attempt: AttemptId, val detail: String) : GateEvent

    /** The sidecar is ready to accept attempts. */
    data object Ready : GateEvent

    /** The sidecar was requested to accept no more attempts and to stop once it has drained. */
    data object LeaveRequested : GateEvent

    /** Sent periodically, so that retention, deadlines and the grace period apply while no other event arrives. */
    data object Tick : GateEvent
}

/** What the caller of [SidecarGate.handle] must do, in the order returned. */
sealed interface GateAction {
    /** Send [message] on [connection], if it is still open. */
    data class Send(val connection: ConnectionId, val message: Message) : GateAction

    /** Send the attempt to the endpoint, exactly once. */
    data class Run(val dispatch: Dispatch) : GateAction

    /** Cancel the endpoint's call for an idempotent attempt. */
    data class CancelRun(val attempt: AttemptId) : GateAction

    /** The sidecar is leaving and has drained, so the process may stop. */
    data object Stop : GateAction
}

/**
 * State of a gate, for metrics and status.
 *
 * @property refusesNewWork whether the sidecar refuses new attempts, because it is starting, leaving or stopped
 * @property rememberedAttempts number of attempts in the ledger
 */
data class GateStatus(val load: LoadReport, val refusesNewWork: Boolean, val rememberedAttempts: Int)
