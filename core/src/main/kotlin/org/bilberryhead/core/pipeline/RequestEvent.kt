package org.bilberryhead.core.pipeline

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.RefusalReason
import kotlin.time.Duration
import kotlin.time.Instant

/** What can happen to a [RequestExecution]. */
sealed interface RequestEvent {
    /** The request begins; always the first event. */
    data object Started : RequestEvent

    /** A sidecar answered about an attempt. */
    data class MessageArrived(val message: AttemptMessage) : RequestEvent

    /** No byte of the message that was last sent for the attempt was written to a connection. */
    data class NotWritten(val attempt: AttemptId) : RequestEvent

    /** The connection that carried the attempt is closed or silent. */
    data class ConnectionLost(val attempt: AttemptId) : RequestEvent

    /** A new connection to the same run of the attempt's sidecar is open. */
    data class ConnectionRestored(val attempt: AttemptId) : RequestEvent

    /** The run of the sidecar that held the attempt has ended; another one took its place. */
    data class IncarnationReplaced(val attempt: AttemptId) : RequestEvent

    /** The attempt stands for other work at this process, which therefore can not tell whether this work ran. */
    data class AttemptIdConflict(val attempt: AttemptId) : RequestEvent

    /** A timer that the execution set has fired. */
    data class TimerFired(val timer: RequestTimer) : RequestEvent

    /** The caller no longer waits. */
    data object CallerDisconnected : RequestEvent
}

/** The timers of an execution; setting one again replaces it. */
enum class RequestTimer { CANCEL_BEFORE_DEADLINE, DEADLINE, HEDGE, ASK_AGAIN }

/** What a [RequestExecution] asks its daemon to do, in order. */
sealed interface RequestAction {
    /** Send [message] to the sidecar of [endpoint], if the run [incarnation] of it is connected. */
    data class Send(val endpoint: EndpointId, val incarnation: Incarnation, val message: AttemptMessage) :
        RequestAction

    /** Fire [timer] at [at]. */
    data class SetTimer(val timer: RequestTimer, val at: Instant) : RequestAction

    /** Pass a part of the last stage's answer on to the caller. */
    data class Deliver(val payload: Payload) : RequestAction

    /** The request has ended; no action follows. */
    data class Complete(val outcome: RequestOutcome) : RequestAction

    /** A decision to be logged. */
    data class Log(val decision: RoutingDecision) : RequestAction
}

/** One choice of an endpoint, as it is logged. */
data class RoutingDecision(
    val attempt: AttemptId,
    val stage: String,
    val candidates: Int,
    val chosen: EndpointId?,
    val reason: String,
)

/** Why a request was not answered. */
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
        /** Returns the reason that a caller is told when a sidecar refused for [reason]. */
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
    /** The whole answer; [payload] is empty when it was delivered in parts. */
    data class Answered(val payload: Payload) : RequestOutcome

    /** No stage ran, provably, and none will. */
    data class NotRun(val reason: FailureReason, val retryAfter: Duration?) : RequestOutcome

    /**
     * Some stage ran or may have run.
     *
     * @property repeatable whether only idempotent stages may have run, so that the caller may send the request again
     */
    data class Unknown(val reason: FailureReason, val repeatable: Boolean, val retryAfter: Duration?) : RequestOutcome
}
