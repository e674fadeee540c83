package org.bilberryhead.core.pipeline

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.RefusalReason
import kotlin.time.Duration
import kotlin.time.Instant

/** An event that a [RequestExecution] handles. */
sealed interface RequestEvent {
    /** The request starts; always the first event. */
    data object Started : RequestEvent

    /** A sidecar sent a message about an attempt. */
    data class MessageArrived(val message: AttemptMessage) : RequestEvent

    /** The latest message for the attempt could not be sent: no byte of it was written to a connection. */
    data class NotWritten(val attempt: AttemptId) : RequestEvent

    /** The connection that the attempt was sent on was closed or stopped receiving messages. */
    data class ConnectionLost(val attempt: AttemptId) : RequestEvent

    /** A new connection to the same incarnation of the attempt's sidecar is open. */
    data class ConnectionRestored(val attempt: AttemptId) : RequestEvent

    /** The sidecar process that the attempt was sent to has ended, and a new incarnation replaced it. */
    data class IncarnationReplaced(val attempt: AttemptId) : RequestEvent

    /** This process already uses the attempt id for different work, so it cannot tell whether this request ran. */
    data class AttemptIdConflict(val attempt: AttemptId) : RequestEvent

    /** A timer that was set with [RequestAction.SetTimer] has fired. */
    data class TimerFired(val timer: RequestTimer) : RequestEvent

    /** The caller no longer waits. */
    data object CallerDisconnected : RequestEvent
}

/** The timers of an execution. Setting a timer that is already set replaces it. */
enum class RequestTimer { CANCEL_BEFORE_DEADLINE, DEADLINE, HEDGE, REPEAT_QUERY }

/** What the caller of [RequestExecution.handle] must do, in the order returned. */
sealed interface RequestAction {
    /** Send [message] to the sidecar of [endpoint], if its [incarnation] is connected. */
    data class Send(val endpoint: EndpointId, val incarnation: Incarnation, val message: AttemptMessage) :
        RequestAction

    /** Fire [timer] at [at]. */
    data class SetTimer(val timer: RequestTimer, val at: Instant) : RequestAction

    /** Forward a part of the last stage's response to the caller. */
    data class Deliver(val payload: Payload) : RequestAction

    /** The request has ended with [outcome]; no action follows. */
    data class Complete(val outcome: RequestOutcome) : RequestAction

    /** Log [decision]. */
    data class Log(val decision: RoutingDecision) : RequestAction
}

/**
 * The selection of an endpoint for one attempt, for the log.
 *
 * @property candidates number of endpoints that were considered
 * @property chosen null when no endpoint was available
 * @property reason why the endpoint was chosen, or why none was
 */
data class RoutingDecision(
    val attempt: AttemptId,
    val stage: String,
    val candidates: Int,
    val chosen: EndpointId?,
    val reason: String,
)

/** Why a request ended without a response. */
enum class FailureReason {
    NO_ENDPOINT,
    OVERLOADED,
    LEAVING,
    DEADLINE_PASSED,
    DEADLINE_UNREACHABLE,
    RETRIES_EXHAUSTED,
    ENDPOINT_FAILED,
    ENDPOINT_REFUSED,
    SIDECAR_GONE,
    ANSWER_INCOMPLETE,
    CALLER_GONE,
    KEY_REUSED,
    KEY_SHARED,
    STORE_UNAVAILABLE,
    CONFIGURATION_MISSING,
    ;

    companion object {
        /** Returns the reason reported to the caller when a sidecar refused an attempt for [reason]. */
        fun of(reason: RefusalReason): FailureReason = when (reason) {
            RefusalReason.LEAVING, RefusalReason.WRONG_INCARNATION -> LEAVING
            RefusalReason.DEADLINE_PASSED -> DEADLINE_PASSED
            RefusalReason.DEADLINE_UNREACHABLE -> DEADLINE_UNREACHABLE
            RefusalReason.QUEUE_FULL, RefusalReason.ACCOUNT_OVER_SHARE -> OVERLOADED
            RefusalReason.CANCELLED -> DEADLINE_PASSED
            RefusalReason.ENDPOINT_UNREACHABLE, RefusalReason.NEVER_SEEN -> NO_ENDPOINT
            RefusalReason.ENDPOINT_REFUSED -> ENDPOINT_REFUSED
            RefusalReason.ATTEMPT_MISMATCH -> KEY_REUSED
        }
    }
}

/** How a request ended. */
sealed interface RequestOutcome {
    /** The complete response; [payload] is empty when the response was streamed with [RequestAction.Deliver]. */
    data class Answered(val payload: Payload) : RequestOutcome

    /** No stage has run, and none will run. */
    data class NotRun(val reason: FailureReason, val retryAfter: Duration?) : RequestOutcome

    /**
     * At least one stage ran or may have run.
     *
     * @property repeatable whether only idempotent stages may have run, so that the caller can safely send the request
     *   again
     */
    data class Unknown(val reason: FailureReason, val repeatable: Boolean, val retryAfter: Duration?) : RequestOutcome
}
