package org.bilberryhead.core.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables

/** A message between two processes of the system. */
@Serializable
sealed interface Message

/** A message that concerns one attempt. The response may be sent on any open connection to the sender. */
@Serializable
sealed interface AttemptMessage : Message {
    /** The attempt that the message concerns. */
    val attempt: AttemptId
}

/**
 * First message on a connection, sent by the process that opened it.
 *
 * @property protocolVersion the receiver closes the connection if it does not support this version
 */
@Serializable
@SerialName("hello")
data class Hello(val protocolVersion: Int, val sender: DaemonId, val tableVersion: TableVersion) : Message

/**
 * Response to [Hello].
 *
 * @property endpoint the endpoint of the responding sidecar; null if an entry responds
 * @property leaving whether the sidecar accepts no new work
 */
@Serializable
@SerialName("welcome")
data class Welcome(
    val sender: DaemonId,
    val incarnation: Incarnation,
    val tableVersion: TableVersion,
    val endpoint: EndpointId? = null,
    val dataCentre: DataCentre? = null,
    val leaving: Boolean = false,
    val load: LoadReport? = null,
) : Message

/** Sent in both directions at a fixed interval, so that a broken connection is detected. */
@Serializable
@SerialName("heartbeat")
data class Heartbeat(val tableVersion: TableVersion, val load: LoadReport? = null) : Message

/** Announces that the sidecar accepts no new work from now on; attempts already accepted continue. */
@Serializable
@SerialName("leaving")
data object Leaving : Message

/**
 * Load of an endpoint, as seen by its sidecar.
 *
 * @property queued attempts accepted but not yet sent to the endpoint
 * @property running attempts that the endpoint is processing
 * @property concurrency current limit of attempts that the endpoint may process at the same time
 * @property serviceMillis smoothed time that the endpoint takes for one attempt, in milliseconds
 * @property failures attempts that failed at the endpoint since its last success
 */
@Serializable
data class LoadReport(
    val queued: Int,
    val running: Int,
    val concurrency: Int,
    val serviceMillis: Double,
    val failures: Int = 0,
)

/**
 * Requests that a sidecar run one stage of a request on its endpoint.
 *
 * @property incarnation the sidecar incarnation that the attempt is for; any other incarnation refuses it
 * @property remainingMillis time left until the deadline when the message was sent, in milliseconds
 * @property idempotent whether the stage may run more than once
 * @property streamed whether frames are sent while the response is being produced
 * @property prefixHash hash of the prompt prefix, equal for requests that share it; 0 if unknown
 * @property fingerprint digest of the kind and body that the caller sent; a dispatch of a known attempt with another
 * fingerprint is refused
 */
@Serializable
@SerialName("dispatch")
data class Dispatch(
    override val attempt: AttemptId,
    val incarnation: Incarnation,
    val request: RequestId,
    val kind: RequestKind,
    val stage: StageName,
    val clientAccount: ClientAccount,
    val remainingMillis: Long,
    val idempotent: Boolean,
    val payload: Payload,
    val streamed: Boolean = false,
    val prefixHash: Int = 0,
    val fingerprint: String = "",
) : AttemptMessage

/**
 * Queries the outcome of an attempt. A sidecar that does not know the attempt records a tombstone first, so that a
 * delayed copy of the dispatch cannot run afterwards.
 *
 * @property resumeAt number of the first frame that the sender has not received
 * @property request the request that waits for the response
 * @property fingerprint as in [Dispatch]
 */
@Serializable
@SerialName("query")
data class Query(
    override val attempt: AttemptId,
    val incarnation: Incarnation,
    val resumeAt: Int,
    val request: RequestId,
    val clientAccount: ClientAccount,
    val fingerprint: String,
) : AttemptMessage

/**
 * States that [request] no longer needs the result of an attempt. An attempt that is still queued, and that no other
 * request waits for, never runs.
 *
 * @property onlyIfWaiting whether to cancel a queued attempt only; a running one continues and its response is sent
 */
@Serializable
@SerialName("cancel")
data class Cancel(
    override val attempt: AttemptId,
    val incarnation: Incarnation,
    val request: RequestId,
    val onlyIfWaiting: Boolean = false,
) : AttemptMessage

/**
 * Requests that the sidecar which refused an attempt record where the attempt was moved. Only the first record counts.
 *
 * @property target the endpoint, sidecar incarnation and attempt that replace it
 */
@Serializable
@SerialName("move")
data class Move(override val attempt: AttemptId, val target: AttemptLocation) : AttemptMessage

/** Where an attempt is recorded: the endpoint, the incarnation of its sidecar, and the id of the attempt there. */
@Serializable
data class AttemptLocation(val endpoint: EndpointId, val incarnation: Incarnation, val attempt: AttemptId)

/**
 * One part of a stage's response.
 *
 * @property number position in the response, counted from 0 without gaps
 * @property last whether this frame completes the response
 */
@Serializable
@SerialName("frame")
data class Frame(
    override val attempt: AttemptId,
    val number: Int,
    val payload: Payload,
    val last: Boolean,
    val load: LoadReport? = null,
) : AttemptMessage

/** Why a sidecar did not run an attempt. */
@Serializable
enum class RefusalReason {
    LEAVING,
    DEADLINE_PASSED,
    DEADLINE_UNREACHABLE,
    QUEUE_FULL,
    ACCOUNT_OVER_SHARE,
    WRONG_INCARNATION,
    CANCELLED,
    ENDPOINT_UNREACHABLE,
    NEVER_SEEN,
    ENDPOINT_REFUSED,

    /** The attempt id belongs to another request, whose outcome is not disclosed. */
    ATTEMPT_MISMATCH,
}

/**
 * The attempt did not run and never will; the sidecar has recorded a tombstone for it.
 *
 * @property retryAfterMillis time after which a retry may succeed, in milliseconds; null if a retry cannot help
 * @property movedTo where the attempt was moved; null if no move is recorded
 */
@Serializable
@SerialName("refused")
data class Refused(
    override val attempt: AttemptId,
    val reason: RefusalReason,
    val retryAfterMillis: Long? = null,
    val movedTo: AttemptLocation? = null,
    val load: LoadReport? = null,
) : AttemptMessage

/** The attempt was sent to the endpoint and failed there; it may have taken effect. */
@Serializable
@SerialName("failed")
data class Failed(override val attempt: AttemptId, val detail: String, val load: LoadReport? = null) : AttemptMessage

/** The attempt is queued or running; its frames follow on the connection on which this was sent. */
@Serializable
@SerialName("running")
data class Running(override val attempt: AttemptId) : AttemptMessage

/** The sidecar run has ended, or its ledger no longer has the attempt, so it is unknown whether the attempt ran. */
@Serializable
@SerialName("forgotten")
data class Forgotten(override val attempt: AttemptId) : AttemptMessage

/**
 * Queries the outcome of an attempt without subscribing to its response or recording a tombstone, so that its dispatch
 * may still run afterwards.
 */
@Serializable
@SerialName("ask-outcome")
data class QueryOutcome(val attempt: AttemptId, val incarnation: Incarnation) : Message

/** State of an attempt as reported by a sidecar. */
@Serializable
enum class AttemptOutcome {
    /** No message about the attempt has arrived; one may still be in transit. */
    NEVER_SEEN,

    /** The attempt was refused and never runs under this id. */
    NOT_RUN,

    /** The attempt is queued or running. */
    RUNNING,

    /** The endpoint has sent its complete response. */
    ANSWERED,

    /** The attempt failed at the endpoint and may have taken effect. */
    FAILED,

    /** The sidecar incarnation that held the attempt has ended, and its ledger with it. */
    FORGOTTEN,
}

/**
 * Response to [QueryOutcome].
 *
 * @property movedTo where a refused attempt was moved; null if no move is recorded
 */
@Serializable
@SerialName("outcome-report")
data class OutcomeReport(val attempt: AttemptId, val outcome: AttemptOutcome, val movedTo: AttemptLocation? = null) :
    Message

/** Requests the table changes that follow version [after]. */
@Serializable
@SerialName("fetch-changes")
data class FetchChanges(val after: TableVersion) : Message

/** Table changes, in order of their versions. */
@Serializable
@SerialName("changes")
data class Changes(val changes: List<TableChange>) : Message

/**
 * The full tables, sent if the receiver is too far behind for incremental changes.
 *
 * @property change the change that made this version; null if the sender does not know it
 */
@Serializable
@SerialName("snapshot")
data class Snapshot(val tables: Tables, val change: ChangeId? = null) : Message
