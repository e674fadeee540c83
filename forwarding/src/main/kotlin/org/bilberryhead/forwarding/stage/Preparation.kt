package org.bilberryhead.forwarding.stage

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.serving.PieceId
import org.bilberryhead.core.serving.PreparationPlan
import org.bilberryhead.core.serving.PreparationStage
import org.bilberryhead.core.serving.ReadyPiece
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.SharedRetryBudget
import org.bilberryhead.core.serving.StagePiece
import org.bilberryhead.core.serving.StageResult
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.platform.wire.StageCodec.PieceResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * What the preparation of a request is about.
 *
 * @property abandonedAt when the caller leaves unless its answer has begun
 * @property readAt where the request will most likely read its inputs; null when that is not known
 */
internal class PreparationOrder(
    val request: RequestId,
    val stages: List<PreparationStage>,
    val pieceCounts: List<Int>,
    val pieceKey: String?,
    val priority: Int,
    val objectiveAt: Instant,
    val deadline: Instant,
    val abandonedAt: Instant,
    val readAt: DataCentre?,
)

/** Hears how the preparation of a request ends. */
internal interface PreparationListener {
    /** The results that the request is given. */
    fun prepared(inputs: List<ResultHandle>)

    /** The request can not be prepared; it has not run, and may be sent again after [retryAfter]. */
    fun notPrepared(reason: String, retryAfter: Duration)
}

/** Has the preparation stages of one request made. */
internal class Preparation(
    private val order: PreparationOrder,
    private val stage: (PoolName) -> StageCoordinatorClient?,
    private val budget: SharedRetryBudget,
    private val thread: EventThread,
    private val placeOf: (ResultHandle) -> DataCentre?,
    private val listener: PreparationListener,
) {
    private val plan = PreparationPlan(order.stages, order.pieceCounts)
    private val tries = mutableMapOf<PieceId, Int>()
    private val usableUntil = mutableMapOf<ResultHandle, Instant>()
    private val grantedAt = mutableMapOf<PoolName, Instant>()
    private var isOver = false

    /** Asks for what can be made now. */
    fun advance() {
        if (isOver) return
        release(plan.takeUnused())
        if (plan.isComplete) {
            isOver = true
            listener.prepared(plan.finalResults())
            return
        }
        plan.takeReady().groupBy { order.stages[it.id.stage].pool }.forEach(::ask)
    }

    /** Makes everything again, after results were lost. */
    fun restart() {
        isOver = false
        if (poolsOf(plan.restart()).all(::mayRetry)) advance() else fail("no retry is left to make its stages again")
    }

    /** Ends the preparation and gives up its results. */
    fun end() {
        isOver = true
        order.stages.mapTo(mutableSetOf()) { it.pool }.forEach { stage(it)?.cancel(order.request) }
        release()
    }

    /** Gives up all results: the request has read them, or needs them no more. */
    fun release() = release(plan.takeRemaining())

    private fun release(results: List<StageResult>) = results
        .groupBy { order.stages[it.stage].pool }
        .forEach { (pool, unneeded) -> stage(pool)?.release(unneeded.map { it.handle }) }

    private fun ask(pool: PoolName, ready: List<ReadyPiece>) {
        val coordinated = stage(pool) ?: return fail("no endpoints are known for a stage")
        coordinated.submit(ready.map(::piece)) { piece, end -> ended(PieceId(piece.stage, piece.index), pool, end) }
    }

    private fun piece(ready: ReadyPiece) = StagePiece(
        request = order.request,
        stage = ready.id.stage,
        index = ready.id.index,
        key = order.pieceKey,
        inputs = ready.inputs,
        priority = order.priority,
        latestStart = order.objectiveAt - timeFrom(ready.id.stage),
        deadline = order.deadline,
        latestUsefulStart = hopelessAt(ready),
        resultBytes = order.stages[ready.id.stage].resultBytes,
        preferredDataCentre = preferred(ready),
        readers = ready.readers,
    )

    /** The call must begin before the caller leaves, and before the endpoints drop the results that it reads. */
    private fun hopelessAt(ready: ReadyPiece): Instant {
        val patience = minOf(order.abandonedAt, order.deadline) - timeFrom(ready.id.stage)
        return ready.inputs.mapNotNull { usableUntil[it] }.fold(patience, ::minOf)
    }

    private fun preferred(ready: ReadyPiece): DataCentre? {
        val stage = ready.id.stage
        val isLast = order.stages.none { stage in it.inputStages }
        return when {
            ready.inputs.isNotEmpty() -> placeOf(ready.inputs.first())
            isLast && order.stages[stage].resultBytes >= LARGE_RESULT_BYTES -> order.readAt
            else -> null
        }
    }

    /** Usual time from the start of a call of the stage [index] until the answer of the request begins. */
    private fun timeFrom(index: Int): Duration {
        val following = order.stages.indices.filter { index in order.stages[it].inputStages }
        val after = following.maxOfOrNull { timeFrom(it) + WAIT_FOR_CALL } ?: FIRST_EVENT_TIME
        return after + (stage(order.stages[index].pool)?.usualCallTime ?: Duration.ZERO)
    }

    private fun ended(id: PieceId, pool: PoolName, end: PieceCallOutcome) {
        if (isOver) return
        when (end) {
            is PieceCallOutcome.DeadlineUnreachable -> fail("its turn at a stage would come too late", end.backlog)
            is PieceCallOutcome.CallFailed ->
                if (end.inputsReleased) remake(id, pool, end.reason) else retry(id, pool, end.reason)

            is PieceCallOutcome.Answered -> {
                if (end.inputsReleased) plan.recordInputsReleased(id)
                take(id, pool, end.result)
            }
        }
    }

    private fun take(id: PieceId, pool: PoolName, result: PieceResult) {
        when (result) {
            is PieceResult.Made -> {
                val handle = ResultHandle(result.handle)
                stage(pool)?.let { usableUntil[handle] = thread.now() + it.keepTime - KEEP_MARGIN }
                plan.recordResult(id, handle)
                advance()
            }

            PieceResult.Late -> fail("its deadline passed at a stage")
            PieceResult.InputsGone -> remake(id, pool, "results of an earlier stage are gone")
            PieceResult.NoRoom -> retry(id, pool, "an endpoint has no room for results")
            PieceResult.Failed -> retry(id, pool, "an endpoint failed to make a piece")
        }
    }

    /** Makes a piece again, and before it the results that it reads: a retry at each of their pools. */
    private fun remake(id: PieceId, pool: PoolName, reason: String) =
        retry(id, poolsOf(plan.invalidateInputs(id)) + pool, reason)

    private fun retry(id: PieceId, pool: PoolName, reason: String) = retry(id, setOf(pool), reason)

    private fun retry(id: PieceId, pools: Set<PoolName>, reason: String) {
        val count = (tries[id] ?: 0) + 1
        tries[id] = count
        if (count > MAXIMUM_RETRIES || !pools.all(::mayRetry)) return fail(reason)
        plan.recordFailure(id)
        thread.after(RETRY_DELAY) { advance() }
    }

    /** Pieces of one request that failed in the same call are one retry. */
    private fun mayRetry(pool: PoolName): Boolean {
        val now = thread.now()
        val granted = grantedAt[pool]
        if (granted != null && now - granted < SAME_CALL) return true
        if (!budget.tryRetry(pool, now)) return false
        grantedAt[pool] = now
        return true
    }

    private fun poolsOf(stages: Set<Int>): Set<PoolName> = stages.mapTo(mutableSetOf()) { order.stages[it].pool }

    private fun fail(reason: String, retryAfter: Duration = RETRY_DELAY) {
        if (isOver) return
        end()
        listener.notPrepared(reason, retryAfter)
    }

    private companion object {
        const val LARGE_RESULT_BYTES = 200_000L
        const val MAXIMUM_RETRIES = 3
        val WAIT_FOR_CALL = 200.milliseconds
        val FIRST_EVENT_TIME = 250.milliseconds
        val RETRY_DELAY = 100.milliseconds
        val SAME_CALL = 20.milliseconds

        /** Time for a call to reach its endpoint, and for news of a result to come back. */
        val KEEP_MARGIN = 200.milliseconds
    }
}
