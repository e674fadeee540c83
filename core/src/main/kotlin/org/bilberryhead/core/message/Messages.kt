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

/** A message that concerns one attempt and is answered on whatever connection its sender has open. */
@Serializable
sealed interface AttemptMessage : Message {
    /** The attempt that the message concerns. */
    val attempt: AttemptId
}

/**
 * First message on a connection, sent by the process that opened it.
 *
 * @property protocolVersion the receiver closes the connection when it does not know it
 */
@Serializable
@SerialName("hello")
data class Hello(val protocolVersion: Int, val sender: DaemonId, val tableVersion: TableVersion) : Message

/**
 * Answer to [Hello].
 *
 * @property endpoint the endpoint behind a sidecar; null when the answer comes from an entry
 * @property leaving whether the sidecar takes no new work
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

/** Sent both ways at a fixed interval, so that a silent connection is noticed. */
@Serializable
@SerialName("heartbeat")
data class Heartbeat(val tableVersion: TableVersion, val load: LoadReport? = null) : Message

/** Tells that the sidecar takes no new work from now on; attempts already accepted go on. */
@Serializable
@SerialName("leaving")
data object Leaving : Message

/**
 * What a sidecar knows of its endpoint's load.
 *
 * @property queued attempts accepted and not yet given to the endpoint
 * @property running attempts that the endpoint works on
 * @property concurrency attempts that the endpoint may work on at once, as now limited
 * @property serviceMillis smoothed time that the endpoint takes for one attempt, in milliseconds
 * @property failures attempts that failed at the endpoint since it last answered one
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
 * Asks a sidecar to run one stage of a request on its endpoint.
 *
 * @property incarnation the sidecar run that the attempt is for; another run refuses it
 * @property remainingMillis time until the deadline when the message was sent, in milliseconds
 * @property idempotent whether the stage may run more than once
 * @property streamed whether frames are passed on while the answer is made
 * @property prefixHash groups requests that share a prompt prefix; 0 when unknown
 * @property fingerprint digest of the caller's own kind and body; a known attempt with another one is refused
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
 * Asks what became of an attempt. A sidecar that never saw it records a tombstone first, so that a late copy of the
 * dispatch can not run afterwards.
 *
 * @property resumeAt number of the first frame that the sender does not have
 * @property request the request that waits for the answer
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
 * Tells that [request] no longer wants the result of an attempt. An attempt that is still queued, and that no other
 * request waits for, never runs.
 *
 * @property onlyIfWaiting whether an attempt that runs goes on, with its answer still wanted
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
 * Asks the sidecar that refused an attempt to record where the attempt is moved. The first record wins.
 *
 * @property target the endpoint, sidecar run and attempt that take its place
 */
@Serializable
@SerialName("move")
data class Move(override val attempt: AttemptId, val target: AttemptLocation) : AttemptMessage

/** Where an attempt is recorded: the endpoint, the run of its sidecar, and the attempt's id there. */
@Serializable
data class AttemptLocation(val endpoint: EndpointId, val incarnation: Incarnation, val attempt: AttemptId)

/**
 * One part of a stage's answer.
 *
 * @property number counts from 0 without gaps
 * @property last whether the answer is complete with this frame
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

    /** The attempt id belongs to another request; what became of that one is not told. */
    ATTEMPT_MISMATCH,
}

/**
 * The attempt did not run and never will: a tombstone stands for it.
 *
 * @property retryAfterMillis when coming back may help, in milliseconds; null when it can not
 * @property movedTo where the attempt was moved, if a move is recorded
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

/** The attempt was given to the endpoint and failed there; it may have taken effect. */
@Serializable
@SerialName("failed")
data class Failed(override val attempt: AttemptId, val detail: String, val load: LoadReport? = null) : AttemptMessage

/** The attempt is queued or running; its frames follow on the connection on which this was sent. */
@Serializable
@SerialName("running")
data class Running(override val attempt: AttemptId) : AttemptMessage

/** The sidecar run has ended, or its ledger has dropped the attempt, so nobody can tell whether the attempt ran. */
@Serializable
@SerialName("forgotten")
data class Forgotten(override val attempt: AttemptId) : AttemptMessage

/**
 * Asks what became of an attempt without subscribing to it or leaving a tombstone, so that its dispatch may still run
 * afterwards.
 */
@Serializable
@SerialName("ask-outcome")
data class AskOutcome(val attempt: AttemptId, val incarnation: Incarnation) : Message

/** What a sidecar knows of an attempt. */
@Serializable
enum class AttemptOutcome {
    /** No message about the attempt has arrived; one may be under way. */
    NEVER_SEEN,

    /** The attempt is refused and never runs under this id. */
    NOT_RUN,

    /** The attempt is queued or running. */
    RUNNING,

    /** The endpoint answered completely. */
    ANSWERED,

    /** The endpoint failed and may have taken effect. */
    FAILED,

    /** The sidecar run that held the attempt has ended, and its ledger with it. */
    FORGOTTEN,
}

/**
 * Answer to [AskOutcome].
 *
 * @property movedTo where a refused attempt was moved, if a move is recorded
 */
@Serializable
@SerialName("outcome-report")
data class OutcomeReport(val attempt: AttemptId, val outcome: AttemptOutcome, val movedTo: AttemptLocation? = null) :
    Message

/** Asks a process for the changes that follow [after]. */
@Serializable
@SerialName("fetch-changes")
data class FetchChanges(val after: TableVersion) : Message

/** Changes in order of their versions. */
@Serializable
@SerialName("changes")
data class Changes(val changes: List<TableChange>) : Message

/**
 * The whole tables, sent when the receiver is too far behind for single changes.
 *
 * @property change the change that made the version, if the sender knows it
 */
@Serializable
@SerialName("snapshot")
data class Snapshot(val tables: Tables, val change: ChangeId? = null) : Message
