package org.bilberryhead.forwarding.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.common.decodeOrNull
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.StagePiece
import org.bilberryhead.forwarding.stage.PieceCallOutcome
import org.bilberryhead.platform.wire.StageCodec.PieceResult
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Paths of the HTTP interface between entries. */
internal object PeerPaths {
    /** Returns the entry's copy of the store's data. */
    const val SNAPSHOT = "/snapshot"

    /** Produces pieces. The response head confirms that they are queued; the body holds their outcomes. */
    const val PIECES = "/stage-pieces"

    /** Releases results. */
    const val RELEASE = "/stage-results/release"

    /** Liveness check. */
    const val ALIVE = "/alive"
}

/**
 * A piece sent to the coordinator of its pool. Times are sent as remaining milliseconds, since clocks differ.
 *
 * @property startsWithinMs time until its call must start for the request to meet its objective; may be negative
 * @property usefulMs time until its call must start for the request to succeed at all; may be negative
 * @property remainingMs time until the request's deadline
 */
@Serializable
internal data class PieceMessage(
    val request: String,
    val stage: Int,
    val index: Int,
    val key: String?,
    val inputs: List<String>,
    val priority: Int,
    val startsWithinMs: Long,
    val usefulMs: Long,
    val remainingMs: Long,
    val resultBytes: Long,
    val preferred: DataCentre? = null,
    val readers: Int = 0,
) {
    fun toPiece(now: Instant) = StagePiece(
        request = RequestId(request),
        stage = stage,
        index = index,
        key = key,
        inputs = inputs.map(::ResultHandle),
        priority = priority,
        latestStart = now + startsWithinMs.milliseconds,
        deadline = now + remainingMs.milliseconds,
        latestUsefulStart = now + usefulMs.milliseconds,
        resultBytes = resultBytes,
        preferredDataCentre = preferred,
        readers = readers,
    )

    companion object {
        fun of(piece: StagePiece, now: Instant) = PieceMessage(
            request = piece.request.value,
            stage = piece.stage,
            index = piece.index,
            key = piece.key,
            inputs = piece.inputs.map { it.value },
            priority = piece.priority,
            startsWithinMs = (piece.latestStart - now).inWholeMilliseconds,
            usefulMs = (piece.latestUsefulStart - now).inWholeMilliseconds,
            remainingMs = (piece.deadline - now).inWholeMilliseconds,
            resultBytes = piece.resultBytes,
            preferred = piece.preferredDataCentre,
            readers = piece.readers,
        )
    }
}

/** Pieces of one request in one pool. */
@Serializable
internal data class PiecesMessage(val pool: PoolName, val pieces: List<PieceMessage>)

/** Outcome of a piece, as encoded in messages. */
@Serializable
internal enum class PieceOutcome { MADE, LATE, INPUTS_GONE, NO_ROOM, FAILED, CALL_FAILED, HOPELESS }

/**
 * Outcome of one piece.
 *
 * @property backlogMs time that the queue needs, when the deadline cannot be met
 * @property inputsReleased whether the results that the piece reads were released
 * @property isHandedOver whether a draining coordinator leaves the piece, which it has not called, to the next one;
 *   entries that do not know this read a failed call
 */
@Serializable
internal data class PieceOutcomeMessage(
    val stage: Int,
    val index: Int,
    val outcome: PieceOutcome,
    val handle: String? = null,
    val reason: String? = null,
    val backlogMs: Long = 0,
    val inputsReleased: Boolean = false,
    val isHandedOver: Boolean = false,
) {
    fun toCallOutcome(): PieceCallOutcome = when (outcome) {
        PieceOutcome.MADE -> resultReturned(handle?.let(PieceResult::Made) ?: PieceResult.Failed)
        PieceOutcome.LATE -> resultReturned(PieceResult.Late)
        PieceOutcome.INPUTS_GONE -> resultReturned(PieceResult.InputsMissing)
        PieceOutcome.NO_ROOM -> resultReturned(PieceResult.NoMemory)
        PieceOutcome.FAILED -> resultReturned(PieceResult.Failed)
        PieceOutcome.CALL_FAILED -> callFailed()
        PieceOutcome.HOPELESS -> PieceCallOutcome.DeadlineUnreachable(backlogMs.milliseconds)
    }

    private fun callFailed() = PieceCallOutcome.CallFailed(reason ?: "the call failed", inputsReleased, isHandedOver)

    private fun resultReturned(result: PieceResult) = PieceCallOutcome.ResultReturned(result, inputsReleased)

    companion object {
        fun of(piece: StagePiece, callOutcome: PieceCallOutcome): PieceOutcomeMessage {
            val message = PieceOutcomeMessage(piece.stage, piece.index, PieceOutcome.HOPELESS)
            return when (callOutcome) {
                is PieceCallOutcome.DeadlineUnreachable -> message.copy(
                    backlogMs = callOutcome.backlog.inWholeMilliseconds,
                )
                is PieceCallOutcome.CallFailed -> message.copy(
                    outcome = PieceOutcome.CALL_FAILED,
                    reason = callOutcome.reason,
                    inputsReleased = callOutcome.inputsReleased,
                    isHandedOver = callOutcome.isHandedOver,
                )

                is PieceCallOutcome.ResultReturned -> message.copy(
                    outcome = outcomeOf(callOutcome.result),
                    handle = (callOutcome.result as? PieceResult.Made)?.handle,
                    inputsReleased = callOutcome.inputsReleased,
                )
            }
        }

        private fun outcomeOf(result: PieceResult): PieceOutcome = when (result) {
            is PieceResult.Made -> PieceOutcome.MADE
            PieceResult.Late -> PieceOutcome.LATE
            PieceResult.InputsMissing -> PieceOutcome.INPUTS_GONE
            PieceResult.NoMemory -> PieceOutcome.NO_ROOM
            PieceResult.Failed -> PieceOutcome.FAILED
        }
    }
}

/** Outcomes of all pieces of a [PiecesMessage]. */
@Serializable
internal data class PieceOutcomesMessage(val ends: List<PieceOutcomeMessage>)

/**
 * An entry's copy of the store's data.
 *
 * @property configuration the newest configuration as operators wrote it, or null when none was read yet
 * @property endpoints the texts that endpoints wrote about themselves, by endpoint id
 * @property ageMs time since the endpoints were last read from the store, or null when they never were
 * @property members number of entries that share the limits, or null when the entry does not know it
 * @property evacuated the evacuated data centres, or null when the entry does not know them
 * @property evacuatedAgeMs time since [evacuated] was in the store
 */
@Serializable
internal data class SnapshotMessage(
    val configuration: String?,
    val endpoints: Map<String, String>,
    val ageMs: Long?,
    val members: Int? = null,
    val evacuated: Set<DataCentre>? = null,
    val evacuatedAgeMs: Long? = null,
)

/** Results of a pool that are no longer needed. */
@Serializable
internal data class ReleaseMessage(val pool: PoolName, val handles: List<String>)

/** Encodes messages between entries as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
internal object PeerCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun <T> encode(serializer: KSerializer<T>, message: T): ByteArray = cbor.encodeToByteArray(serializer, message)

    /** Returns the message in [bytes], or null when they cannot be decoded. */
    fun <T : Any> decode(serializer: KSerializer<T>, bytes: ByteArray): T? =
        decodeOrNull { cbor.decodeFromByteArray(serializer, bytes) }
}
