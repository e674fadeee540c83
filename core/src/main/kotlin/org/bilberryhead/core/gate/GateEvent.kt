package org.bilberryhead.core.gate

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.message.Message

/** Names a connection of a sidecar, for as long as it is open. */
@JvmInline
value class ConnectionId(val value: Long)

/** What can happen to a [SidecarGate]. */
sealed interface GateEvent {
    /** A message about an attempt arrived. */
    data class MessageArrived(val connection: ConnectionId, val message: AttemptMessage) : GateEvent

    /** A dispatch arrived while too much waited to be handled. It must not run, so its payload is not kept. */
    data class DispatchOverflowed(val connection: ConnectionId, val dispatch: Dispatch) : GateEvent

    /** A connection to an entry is open. */
    data class ConnectionOpened(val connection: ConnectionId) : GateEvent

    /** A connection is closed or given up. */
    data class ConnectionClosed(val connection: ConnectionId) : GateEvent

    /** The endpoint produced a part of its answer. */
    data class EndpointAnswered(val attempt: AttemptId, val payload: Payload, val last: Boolean) : GateEvent

    /** The endpoint provably did not begin the attempt. */
    data class EndpointDidNotRun(val attempt: AttemptId, val detail: String) : GateEvent

    /** The endpoint failed after it may have begun the attempt. */
    data class EndpointFailed(val attempt: AttemptId, val detail: String) : GateEvent

    /** The sidecar can take work. */
    data object Ready : GateEvent

    /** The sidecar is asked to leave. */
    data object Leave : GateEvent

    /** Time has passed. */
    data object Tick : GateEvent
}

/** What a [SidecarGate] asks its daemon to do, in order. */
sealed interface GateAction {
    /** Send [message] on [connection], if it is still open. */
    data class Send(val connection: ConnectionId, val message: Message) : GateAction

    /** Give the attempt to the endpoint, exactly once. */
    data class Run(val dispatch: Dispatch) : GateAction

    /** Stop the endpoint's work on an idempotent attempt. */
    data class CancelRun(val attempt: AttemptId) : GateAction

    /** Every accepted attempt has ended after leaving; the process may stop. */
    data object Stop : GateAction
}

/** Counts of a gate, for metrics and status. */
data class GateStatus(val load: LoadReport, val leaving: Boolean, val rememberedAttempts: Int)
