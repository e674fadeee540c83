package org.bilberryhead.forwarding.stage

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.serving.EarlyInputRelease
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.core.serving.PieceEndpointChooser
import org.bilberryhead.core.serving.PieceProcessingProfile
import org.bilberryhead.core.serving.PieceQueue
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.ResultMemory
import org.bilberryhead.core.serving.StagePiece
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.Timer
import org.bilberryhead.forwarding.http.ExchangeEnd
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.forwarding.http.SingleExchange
import org.bilberryhead.platform.wire.HeaderValues
import org.bilberryhead.platform.wire.StageCodec
import org.bilberryhead.platform.wire.StageCodec.PieceResult
import org.bilberryhead.platform.wire.WireHeaders
import org.bilberryhead.platform.wire.WirePaths
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** What became of a piece that was asked for. */
internal sealed interface PieceCallOutcome {
    /** The endpoint answered for the piece. [inputsReleased] when its inputs were given up on the way. */
    data class Answered(val result: PieceResult, val inputsReleased: Boolean = false) : PieceCallOutcome

    /** The call was refused or failed; the piece may be asked for again, after its inputs if those were given up. */
    data class CallFailed(val reason: String, val inputsReleased: Boolean = false) : PieceCallOutcome

    /** It will not be of use any more when its turn comes; the pieces ahead of it take [backlog]. */
    data class DeadlineUnreachable(val backlog: Duration) : PieceCallOutcome
}

/** What a [StageScheduler] needs of the process. */
internal interface StageContext {
    val thread: EventThread
    val exchange: SingleExchange
    val decisions: DecisionLog

    /** Tells the endpoints that nobody needs the results at [handles]; [done] is told of each that was dropped. */
    fun release(handles: List<ResultHandle>, done: (ResultHandle) -> Unit)

    /** Gives up results of any pools, by way of the coordinators that had them made. */
    fun releaseThroughCoordinators(handles: List<ResultHandle>)

    /** Whether this entry is about to end. */
    val isDraining: Boolean

    /** Endpoints of [pool] that may get new work. */
    fun usableEndpoints(pool: PoolName): List<EndpointEntry>
}

/** Gathers pieces of one pool into calls and sends them. */
internal class StageScheduler(
    private val pool: PoolName,
    private val shape: PieceProcessingProfile,
    private val context: StageContext,
    private val chooser: PieceEndpointChooser,
) {
    private val room = ResultMemory(shape.resultMemoryBytes, shape.resultRetention)
    private val queue = PieceQueue()
    private val inputRelease = EarlyInputRelease()
    private val listeners = mutableMapOf<StagePiece, (PieceCallOutcome) -> Unit>()
    private var pumpTimer: Timer? = null
    private var pumpAt = context.thread.now()
    private var nextCheckAt = context.thread.now()
    private var meanResultBytes = 1.0

    /** Usual time from the start of a call to its end. */
    val usualCallTime: Duration get() = shape.callOverhead + shape.timePerPiece * (shape.batchSize / 2)

    /** How long endpoints keep a result that nobody gives up. */
    val keepTime: Duration get() = shape.resultRetention

    /** Pieces that wait for a call. */
    val waitingCount: Int get() = queue.size

    /** Asks for [pieces] of one request; [ended] is told once of each, unless they are dropped. */
    fun submit(pieces: List<StagePiece>, ended: (StagePiece, PieceCallOutcome) -> Unit) {
        pieces.forEach { meanResultBytes += (it.resultBytes - meanResultBytes) * SIZE_WEIGHT }
        pieces.forEach { piece -> listeners[piece] = { end -> ended(piece, end) } }
        queue.add(pieces, context.thread.now())
        pumpSoon(GATHER_TIME)
    }

    /** Drops the pieces of [request] that wait or are being made. */
    fun cancel(request: RequestId) {
        queue.drop(request)
        listeners.keys.removeAll { it.request == request }
    }

    /** Gives up results that nobody needs any more. Their room is free once their endpoints say so. */
    fun release(handles: List<ResultHandle>) = context.release(handles) { handle ->
        room.recordRelease(handle, context.thread.now())
        if (queue.size > 0) pumpSoon(GATHER_TIME)
    }

    /** Looks at the queue after [delay], or earlier if that was asked for already. */
    private fun pumpSoon(delay: Duration) {
        val at = context.thread.now() + delay
        if (pumpTimer != null && pumpAt <= at) return
        pumpTimer?.cancel()
        pumpAt = at
        pumpTimer = context.thread.after(delay) {
            pumpTimer = null
            pump()
        }
    }

    private fun pump() {
        val now = context.thread.now()
        refuseHopeless(now)
        while (queue.size > 0) {
            val candidates = context.usableEndpoints(pool)
            if (candidates.isEmpty()) return failAll()
            val needed = queue.firstResultBytes(now)
            val roomy = choose(candidates, now) { room.isUnused(it) || room.freeBytes(it, now) >= needed }
            val endpoint = roomy ?: choose(candidates, now) { true } ?: return pumpSoon(ROOM_CHECK)
            val batch = takeBatch(endpoint, hasRoomForFirst = roomy != null, now)
            if (batch.isEmpty()) return pumpSoon(if (roomy == null) ROOM_CHECK else PREFERENCE_CHECK)
            call(endpoint, batch, now)
        }
    }

    private fun choose(candidates: List<EndpointEntry>, now: Instant, hasRoom: (EndpointId) -> Boolean) =
        chooser.choose(candidates, queue.first(now)?.preferredDataCentre, now, hasRoom)

    /** While the first request waits for room, requests that need next to none of it go before it. */
    private fun takeBatch(endpoint: EndpointEntry, hasRoomForFirst: Boolean, now: Instant): List<StagePiece> {
        val free = room.freeBytes(endpoint.id, now)
        val smallBytes = if (hasRoomForFirst) null else minOf(free, (shape.resultMemoryBytes * SMALL_PART).toLong())
        return queue.takeBatch(now, steadyBatch(), free, endpoint.dataCentre, smallBytes)
    }

    private fun refuseHopeless(now: Instant) {
        if (now < nextCheckAt) return
        nextCheckAt = now + HOPELESS_CHECK
        val perSecond = perSecond()
        val hopeless = queue.takeUnservable(now, perSecond)
        val backlog = (queue.size / perSecond).seconds
        hopeless.forEach { tell(it, PieceCallOutcome.DeadlineUnreachable(backlog)) }
    }

    /** Pieces that the known endpoints make in a second, in calls of the usual size. */
    private fun perSecond(): Double {
        val places = context.usableEndpoints(pool).size.coerceAtLeast(1) * shape.concurrentCalls
        val pieces = steadyBatch()
        return places * pieces / (shape.callOverhead + shape.timePerPiece * pieces).toDouble(DurationUnit.SECONDS)
    }

    private fun steadyBatch(): Int = room.maximumBatchSize(shape, meanResultBytes.toLong())

    private fun failAll() = queue.takeAll().forEach { tell(it, PieceCallOutcome.CallFailed("no endpoint is known")) }

    private fun call(endpoint: EndpointEntry, pieces: List<StagePiece>, now: Instant) {
        chooser.begin(endpoint.id)
        room.reserve(endpoint.id, pieces.sumOf { it.resultBytes })
        val usual = chooser.nominalCallTime(pieces.size)
        val expected = chooser.expectedCallTime(endpoint.id, pieces.size)
        val limit = expected * LIMIT_FACTOR + LIMIT_SLACK
        val inputs = CallInputs(lastRead(pieces, endpoint, now), context.thread, context::releaseThroughCoordinators)
        context.exchange.run(endpoint.address, request(endpoint, pieces, now), limit, inputs::sent) { end ->
            inputs.ended()
            val ended = context.thread.now()
            val results = resultsOf(end, pieces.size)
            chooser.end(endpoint.id, failed = results == null, slowdown = (ended - now) / usual, ended)
            inputRelease.recordCallEnd(endpoint.id, mayHaveQueued = hasWaited(end, ended - now, expected), ended)
            settleRoom(endpoint, pieces, results.orEmpty(), ended)
            log(endpoint, pieces, end, results, ended - now)
            deliver(pieces, results, end, inputs)
            pumpSoon(Duration.ZERO)
        }
    }

    /** A coordinator that leaves shares the endpoints with the next one. */
    private fun lastRead(pieces: List<StagePiece>, endpoint: EndpointEntry, now: Instant) =
        if (context.isDraining) emptySet() else inputRelease.releasableInputs(pieces, endpoint.id, now)

    private fun hasWaited(end: ExchangeEnd, elapsed: Duration, expected: Duration): Boolean {
        val answer = (end as? ExchangeEnd.Answered)?.response ?: return true
        val othersWait = HeaderValues.load(answer.head.headers[WireHeaders.LOAD])?.let { it.waiting > 0 } ?: false
        return othersWait || elapsed > expected + WAIT_SLACK
    }

    private fun settleRoom(
        endpoint: EndpointEntry,
        pieces: List<StagePiece>,
        results: List<PieceResult>,
        now: Instant,
    ) {
        val made = pieces.zip(results).filter { (_, result) -> result is PieceResult.Made }
        room.endReservation(
            endpoint.id,
            bytes = pieces.sumOf { it.resultBytes },
            madeBytes = made.sumOf { (piece, _) -> piece.resultBytes },
            isMemoryFull = results.any { it is PieceResult.NoRoom },
        )
        for ((piece, result) in made) {
            if (result is PieceResult.Made) room.add(ResultHandle(result.handle), endpoint.id, piece.resultBytes, now)
        }
    }

    private fun deliver(pieces: List<StagePiece>, results: List<PieceResult>?, end: ExchangeEnd, inputs: CallInputs) {
        pieces.forEachIndexed { index, piece ->
            val result = results?.get(index)
            val released = inputs.wereReleased(piece)
            if (released && result is PieceResult.InputsGone) inputRelease.recordMissingInputs(context.thread.now())
            val failure = PieceCallOutcome.CallFailed(end.toReason(), released)
            tell(piece, if (result == null) failure else PieceCallOutcome.Answered(result, released))
        }
    }

    private fun tell(piece: StagePiece, end: PieceCallOutcome) {
        val listener = listeners.remove(piece)
        if (listener != null) return listener(end)
        val result = (end as? PieceCallOutcome.Answered)?.result
        if (result is PieceResult.Made) release(listOf(ResultHandle(result.handle)))
    }

    private fun resultsOf(end: ExchangeEnd, count: Int): List<PieceResult>? {
        val answer = (end as? ExchangeEnd.Answered)?.response ?: return null
        return if (answer.head.status == OK) StageCodec.decodeRun(answer.text, count) else null
    }

    private fun request(endpoint: EndpointEntry, pieces: List<StagePiece>, now: Instant): OutboundRequest {
        val headers = DefaultHttpHeaders()
            .add("Host", endpoint.address.toString())
            .add("Content-Type", "application/json")
            .add("Connection", "close")
            .add(WireHeaders.EXPECTED_ENDPOINT, endpoint.id.value)
        val calls = pieces.map { piece ->
            StageCodec.PieceCall(
                requestId = piece.request.value,
                stage = piece.stage,
                index = piece.index,
                remainingMs = (piece.deadline - now).inWholeMilliseconds,
                key = piece.key,
                inputs = piece.inputs.map { it.value },
            )
        }
        val body = StageCodec.encodeRun(calls).encodeToByteArray()
        return OutboundRequest(HttpMethod.POST, WirePaths.STAGE_RUN, headers, body)
    }

    private fun log(
        endpoint: EndpointEntry,
        pieces: List<StagePiece>,
        end: ExchangeEnd,
        results: List<PieceResult>?,
        elapsed: Duration,
    ) = context.decisions.write("stage call") {
        mapOf(
            "pool" to pool,
            "endpoint" to endpoint.id,
            "requests" to pieces.mapTo(mutableSetOf()) { it.request.value }.joinToString(","),
            "pieces" to pieces.size,
            "made" to (results?.count { it is PieceResult.Made } ?: 0),
            "inputs_gone" to (results?.count { it is PieceResult.InputsGone } ?: 0),
            "no_room" to (results?.count { it is PieceResult.NoRoom } ?: 0),
            "failure" to if (results == null) end.toReason() else null,
            "left_waiting" to queue.size,
            "elapsed_ms" to elapsed.inWholeMilliseconds,
        )
    }

    private fun ExchangeEnd.toReason(): String = when (this) {
        is ExchangeEnd.Answered -> "status ${response.head.status}"
        is ExchangeEnd.NotSent -> reason
        is ExchangeEnd.Unknown -> reason
    }

    private companion object {
        const val OK = 200
        const val LIMIT_FACTOR = 4
        val LIMIT_SLACK = 500.milliseconds
        val WAIT_SLACK = 100.milliseconds
        val GATHER_TIME = 4.milliseconds
        val PREFERENCE_CHECK = 20.milliseconds
        val HOPELESS_CHECK = 100.milliseconds
        const val SIZE_WEIGHT = 0.05

        /** Part of an endpoint's room up to which the results of a request do not keep others from it. */
        const val SMALL_PART = 0.03
        val ROOM_CHECK = 50.milliseconds
    }
}
