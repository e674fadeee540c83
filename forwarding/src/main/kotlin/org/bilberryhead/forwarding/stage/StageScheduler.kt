package org.bilberryhead.forwarding.stage

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.serving.CoordinatorDrain
import org.bilberryhead.core.serving.DrainingPieceAction
import org.bilberryhead.core.serving.EarlyInputRelease
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.core.serving.PieceEndpointChooser
import org.bilberryhead.core.serving.PieceProcessingProfile
import org.bilberryhead.core.serving.PieceQueue
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.ResultMemory
import org.bilberryhead.core.serving.StagePiece
import org.bilberryhead.forwarding.Timer
import org.bilberryhead.forwarding.http.ExchangeOutcome
import org.bilberryhead.forwarding.http.OutboundRequest
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

/** The outcome of a submitted piece. */
internal sealed interface PieceCallOutcome {
    /** The endpoint returned a result; [inputsReleased] says whether the inputs were released during the call. */
    data class ResultReturned(val result: PieceResult, val inputsReleased: Boolean = false) : PieceCallOutcome

    /**
     * The call was refused or failed. The piece may be submitted again, once released inputs are recomputed. A piece
     * that [isHandedOver] was never called: its coordinator drains and leaves it to the next one.
     */
    data class CallFailed(val reason: String, val inputsReleased: Boolean = false, val isHandedOver: Boolean = false) :
        PieceCallOutcome

    /**
     * The call cannot start early enough to be of use. [backlog] is the time that the pieces in the queue take, or the
     * time until the first endpoint is back when all of the pool rest.
     */
    data class DeadlineUnreachable(val backlog: Duration) : PieceCallOutcome
}

/**
 * Schedules the pieces of one pool: queues them, batches them into calls, selects an endpoint for each call, and
 * delivers the outcomes.
 */
internal class StageScheduler(
    private val pool: PoolName,
    private val profile: PieceProcessingProfile,
    private val context: StageContext,
    private val endpointChooser: PieceEndpointChooser,
) {
    private val memory = ResultMemory(profile.resultMemoryBytes, profile.resultRetention)
    private val queue = PieceQueue()
    private val inputRelease = EarlyInputRelease()
    private val listeners = mutableMapOf<StagePiece, (PieceCallOutcome) -> Unit>()
    private var scheduleTimer: Timer? = null
    private var scheduledAt = context.thread.now()
    private var nextDeadlineCheckAt = context.thread.now()
    private var meanResultBytes = 1.0

    /** Expected time from the start of a call to its end. */
    val expectedCallTime: Duration get() = profile.callOverhead + profile.timePerPiece * (profile.batchSize / 2)

    /** How long endpoints keep a result that is not released. */
    val resultRetention: Duration get() = profile.resultRetention

    /** Number of pieces that wait for a call. */
    val waitingCount: Int get() = queue.size

    /** Queues [pieces], all of one request; [onOutcome] is called once for each unless they are cancelled. */
    fun submit(pieces: List<StagePiece>, onOutcome: (StagePiece, PieceCallOutcome) -> Unit) {
        pieces.forEach { meanResultBytes += (it.resultBytes - meanResultBytes) * RESULT_SIZE_SMOOTHING }
        pieces.forEach { piece -> listeners[piece] = { outcome -> onOutcome(piece, outcome) } }
        queue.add(pieces, context.thread.now())
        scheduleIn(BATCH_DELAY)
    }

    /** Cancels those of [pieces] that wait or are being computed; no outcome of them is delivered any more. */
    fun cancel(pieces: Set<StagePiece>) {
        queue.drop(pieces)
        listeners.keys.removeAll(pieces)
    }

    /** Cancels the pieces of [request] that wait or are being computed; no outcome of them is delivered any more. */
    fun cancel(request: RequestId) {
        queue.drop(request)
        listeners.keys.removeAll { it.request == request }
    }

    /** Ends those of [pieces], all of other entries, with which this entry does not go on in [drain]. */
    fun drain(pieces: Set<StagePiece>, drain: CoordinatorDrain) {
        val now = context.thread.now()
        for (piece in pieces.filter { it in listeners }) {
            when (drain.actionFor(isCalled = piece !in queue, now)) {
                DrainingPieceAction.HAND_OVER -> {
                    queue.drop(setOf(piece))
                    deliverOutcome(piece, PieceCallOutcome.CallFailed(DRAINS, isHandedOver = true))
                }

                DrainingPieceAction.AWAIT -> Unit
                DrainingPieceAction.REPORT_FAILED -> deliverOutcome(piece, PieceCallOutcome.CallFailed(DRAINS))
            }
        }
    }

    /** Releases results that are no longer needed. Their memory counts as free once their endpoints confirm it. */
    fun release(handles: List<ResultHandle>) = context.release(handles) { handle ->
        memory.recordRelease(handle, context.thread.now())
        if (queue.size > 0) scheduleIn(BATCH_DELAY)
    }

    /** Runs [schedule] after [delay], or earlier if an earlier run is already planned. */
    private fun scheduleIn(delay: Duration) {
        val at = context.thread.now() + delay
        if (scheduleTimer != null && scheduledAt <= at) return
        scheduleTimer?.cancel()
        scheduledAt = at
        scheduleTimer = context.thread.after(delay) {
            scheduleTimer = null
            schedule()
        }
    }

    private fun schedule() {
        val now = context.thread.now()
        rejectUnreachable(now)
        while (queue.size > 0) {
            val candidates = context.usableEndpoints(pool)
            if (candidates.isEmpty()) return failAllWaiting()
            val neededBytes = queue.firstResultBytes(now)
            val withMemory = choose(candidates, now) { memory.isUnused(it) || memory.freeBytes(it, now) >= neededBytes }
            val endpoint = withMemory ?: choose(candidates, now) { true } ?: return scheduleIn(MEMORY_WAIT)
            val batch = takeBatch(endpoint, fitsFirstRequest = withMemory != null, now)
            if (batch.isEmpty()) return scheduleIn(if (withMemory == null) MEMORY_WAIT else PREFERENCE_WAIT)
            call(endpoint, batch, now)
        }
    }

    private fun choose(
        candidates: List<EndpointEntry>,
        now: Instant,
        isEligible: (EndpointId) -> Boolean,
    ): EndpointEntry? {
        val free = candidates.filter { endpointChooser.openCalls(it.id) < context.maximumCalls(it) }
        return endpointChooser.choose(free, queue.first(now)?.preferredDataCentre, now, isEligible)
    }

    /** While the first request waits for memory at an endpoint, requests with very small results go before it. */
    private fun takeBatch(endpoint: EndpointEntry, fitsFirstRequest: Boolean, now: Instant): List<StagePiece> {
        val free = memory.freeBytes(endpoint.id, now)
        val smallRequestBytes =
            if (fitsFirstRequest) null else minOf(free, (profile.resultMemoryBytes * SMALL_REQUEST_SHARE).toLong())
        return queue.takeBatch(now, maximumBatchSize(), free, endpoint.dataCentre, smallRequestBytes)
    }

    private fun rejectUnreachable(now: Instant) {
        if (now < nextDeadlineCheckAt) return
        nextDeadlineCheckAt = now + DEADLINE_CHECK_INTERVAL
        val piecesPerSecond = piecesPerSecond()
        val unreachable = queue.takeUnservable(now, piecesPerSecond)
        val backlog = (queue.size / piecesPerSecond).seconds
        unreachable.forEach { deliverOutcome(it, PieceCallOutcome.DeadlineUnreachable(backlog)) }
    }

    /** Pieces per second that the known endpoints compute in calls of the maximum batch size. */
    private fun piecesPerSecond(): Double {
        val concurrentCalls = context.usableEndpoints(pool).size.coerceAtLeast(1) * profile.concurrentCalls
        val pieces = maximumBatchSize()
        return concurrentCalls * pieces /
            (profile.callOverhead + profile.timePerPiece * pieces).toDouble(DurationUnit.SECONDS)
    }

    private fun maximumBatchSize(): Int = memory.maximumBatchSize(profile, meanResultBytes.toLong())

    private fun failAllWaiting() {
        val firstReturn = context.timeUntilFirstReturn(pool)
        val outcome = if (firstReturn == null) {
            PieceCallOutcome.CallFailed("no endpoint is known")
        } else {
            PieceCallOutcome.DeadlineUnreachable(firstReturn)
        }
        context.decisions.write("no endpoint for stage calls") {
            mapOf("pool" to pool, "pieces" to queue.size, "first_return_ms" to firstReturn?.inWholeMilliseconds)
        }
        queue.takeAll().forEach { deliverOutcome(it, outcome) }
    }

    private fun call(endpoint: EndpointEntry, pieces: List<StagePiece>, now: Instant) {
        endpointChooser.recordCallStart(endpoint.id)
        memory.reserve(endpoint.id, pieces.sumOf { it.resultBytes })
        val nominalTime = endpointChooser.nominalCallTime(pieces.size)
        val expected = endpointChooser.expectedCallTime(endpoint.id, pieces.size)
        val timeout = expected * TIMEOUT_FACTOR + TIMEOUT_SLACK
        val inputs =
            CallInputs(releasableInputs(pieces, endpoint, now), context.thread, context::releaseThroughCoordinators)
        context.exchange.send(
            endpoint.address,
            request(endpoint, pieces, now),
            timeout,
            sent = {
                context.callSent(endpoint)
                inputs.callSent()
            },
            obstacle = { context.obstacleTo(endpoint) },
            headReceived = { context.headReceived(endpoint, it) },
        ) { outcome ->
            inputs.callEnded()
            val endedAt = context.thread.now()
            val results = resultsOf(outcome, pieces.size)
            endpointChooser.recordCallEnd(
                endpoint.id,
                failed = results == null,
                slowdown = (endedAt - now) / nominalTime,
                endedAt,
            )
            inputRelease.recordCallEnd(
                endpoint.id,
                mayHaveQueued = wasQueued(outcome, endedAt - now, expected),
                endedAt,
            )
            recordResults(endpoint, pieces, results.orEmpty(), endedAt)
            logCall(endpoint, pieces, outcome, results, endedAt - now)
            deliverAll(pieces, results, outcome, inputs)
            scheduleIn(Duration.ZERO)
        }
    }

    /**
     * Returns the inputs that may be released during the call. There are none while this entry drains, since the next
     * coordinator sends calls to the same endpoints.
     */
    private fun releasableInputs(pieces: List<StagePiece>, endpoint: EndpointEntry, now: Instant) =
        if (context.isDraining) emptySet() else inputRelease.releasableInputs(pieces, endpoint.id, now)

    /** Returns whether the call may have waited in the queue of its endpoint. */
    private fun wasQueued(outcome: ExchangeOutcome, elapsed: Duration, expected: Duration): Boolean {
        val response = (outcome as? ExchangeOutcome.Completed)?.response ?: return true
        val hasWaitingWork =
            HeaderValues.loadReport(response.head.headers[WireHeaders.LOAD])?.let { it.waiting > 0 } ?: false
        return hasWaitingWork || elapsed > expected + QUEUEING_SLACK
    }

    private fun recordResults(
        endpoint: EndpointEntry,
        pieces: List<StagePiece>,
        results: List<PieceResult>,
        at: Instant,
    ) {
        val computed = pieces.zip(results).filter { (_, result) -> result is PieceResult.Made }
        memory.endReservation(
            endpoint.id,
            bytes = pieces.sumOf { it.resultBytes },
            storedBytes = computed.sumOf { (piece, _) -> piece.resultBytes },
            isMemoryFull = results.any { it is PieceResult.NoMemory },
        )
        for ((piece, result) in computed) {
            if (result is PieceResult.Made) memory.add(ResultHandle(result.handle), endpoint.id, piece.resultBytes, at)
        }
    }

    private fun deliverAll(
        pieces: List<StagePiece>,
        results: List<PieceResult>?,
        outcome: ExchangeOutcome,
        inputs: CallInputs,
    ) {
        pieces.forEachIndexed { index, piece ->
            val result = results?.get(index)
            val released = inputs.wereReleased(piece)
            if (released && result is PieceResult.InputsMissing) inputRelease.recordMissingInputs(context.thread.now())
            val failure = PieceCallOutcome.CallFailed(outcome.toReason(), released)
            deliverOutcome(piece, if (result == null) failure else PieceCallOutcome.ResultReturned(result, released))
        }
    }

    private fun deliverOutcome(piece: StagePiece, outcome: PieceCallOutcome) {
        val listener = listeners.remove(piece)
        if (listener != null) return listener(outcome)
        val result = (outcome as? PieceCallOutcome.ResultReturned)?.result
        if (result is PieceResult.Made) release(listOf(ResultHandle(result.handle)))
    }

    private fun resultsOf(outcome: ExchangeOutcome, count: Int): List<PieceResult>? {
        val response = (outcome as? ExchangeOutcome.Completed)?.response ?: return null
        return if (response.head.status == OK) StageCodec.decodeRun(response.text, count) else null
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

    private fun logCall(
        endpoint: EndpointEntry,
        pieces: List<StagePiece>,
        outcome: ExchangeOutcome,
        results: List<PieceResult>?,
        elapsed: Duration,
    ) = context.decisions.write("stage call") {
        mapOf(
            "pool" to pool,
            "endpoint" to endpoint.id,
            "requests" to pieces.mapTo(mutableSetOf()) { it.request.value }.joinToString(","),
            "pieces" to pieces.size,
            "made" to (results?.count { it is PieceResult.Made } ?: 0),
            "inputs_gone" to (results?.count { it is PieceResult.InputsMissing } ?: 0),
            "no_room" to (results?.count { it is PieceResult.NoMemory } ?: 0),
            "failure" to if (results == null) outcome.toReason() else null,
            "left_waiting" to queue.size,
            "elapsed_ms" to elapsed.inWholeMilliseconds,
        )
    }

    private fun ExchangeOutcome.toReason(): String = when (this) {
        is ExchangeOutcome.Completed -> "status ${response.head.status}"
        is ExchangeOutcome.NotSent -> reason
        is ExchangeOutcome.Unknown -> reason
    }

    private companion object {
        const val OK = 200
        const val DRAINS = "the coordinator ends"
        const val TIMEOUT_FACTOR = 4
        val TIMEOUT_SLACK = 500.milliseconds
        val QUEUEING_SLACK = 100.milliseconds
        val BATCH_DELAY = 4.milliseconds

        /** Time until the next check while pieces wait for an endpoint in their preferred data centre. */
        val PREFERENCE_WAIT = 20.milliseconds
        val DEADLINE_CHECK_INTERVAL = 100.milliseconds
        const val RESULT_SIZE_SMOOTHING = 0.05

        /** Share of an endpoint's memory for results that a request may take ahead of one that waits for memory. */
        const val SMALL_REQUEST_SHARE = 0.03

        /** Time until the next check while no endpoint has memory for the results of the first request. */
        val MEMORY_WAIT = 50.milliseconds
    }
}
