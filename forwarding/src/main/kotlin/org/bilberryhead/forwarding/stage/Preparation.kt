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
 * What the preparation of a request needs to know of the request.
 *
 * @property pieceCounts number of pieces of each stage
 * @property pieceKey what the pieces of the first stages are computed from; null when the request has no key
 * @property objectiveAt when the response should start to meet the objective of the route
 * @property deadline when the request must have its final response
 * @property callerTimeoutAt when the caller will disconnect unless its response has started; a restart has its own
 * @property readerDataCentre the data centre in which an engine will most likely read the results; null if unknown
 */
internal class PreparationSpec(
    val request: RequestId,
    val stages: List<PreparationStage>,
    val pieceCounts: List<Int>,
    val pieceKey: String?,
    val priority: Int,
    val objectiveAt: Instant,
    val deadline: Instant,
    val callerTimeoutAt: Instant,
    val readerDataCentre: DataCentre?,
)

/** Receives the outcome of a preparation. */
internal interface PreparationListener {
    /** All stages are complete; [inputs] are the results that the request reads. */
    fun prepared(inputs: List<ResultHandle>)

    /** The preparation has failed. The request has not run; the caller may send it again after [retryAfter]. */
    fun notPrepared(reason: String, retryAfter: Duration)
}

/**
 * Runs the preparation stages of one request: submits each piece once its inputs are computed, retries failed pieces,
 * and releases results that are no longer needed.
 *
 * @param stageClient the client of the stage coordinator of a pool; null when the pool runs no stages
 * @param dataCentreOf the data centre that holds a result; null when its endpoint is not known
 */
internal class Preparation(
    private val spec: PreparationSpec,
    private val stageClient: (PoolName) -> StageCoordinatorClient?,
    private val retryBudget: SharedRetryBudget,
    private val thread: EventThread,
    private val dataCentreOf: (ResultHandle) -> DataCentre?,
    private val listener: PreparationListener,
) {
    private val plan = PreparationPlan(spec.stages, spec.pieceCounts)
    private val retryCounts = mutableMapOf<PieceId, Int>()
    private val expiresAt = mutableMapOf<ResultHandle, Instant>()
    private val retryGrantedAt = mutableMapOf<PoolName, Instant>()
    private var callerTimeoutAt = spec.callerTimeoutAt
    private var isFinished = false

    /** Submits the pieces whose inputs are computed, and reports to the listener when all stages are complete. */
    fun advance() {
        if (isFinished) return
        release(plan.takeUnused())
        if (plan.isComplete) {
            isFinished = true
            listener.prepared(plan.finalResults())
            return
        }
        plan.takeReady().groupBy { spec.stages[it.id.stage].pool }.forEach(::submit)
    }

    /**
     * Computes the results of all stages again, after results were lost or released. Takes one retry for each pool.
     *
     * @param callerTimeoutAt when the caller will disconnect unless its response has started or gone on
     */
    fun restart(callerTimeoutAt: Instant) {
        isFinished = false
        this.callerTimeoutAt = callerTimeoutAt
        if (poolsOf(plan.restart()).all(::takeRetry)) advance() else fail("no retry is left to make its stages again")
    }

    /** Ends the preparation: cancels its pieces and releases its results. */
    fun end() {
        isFinished = true
        spec.stages.mapTo(mutableSetOf()) { it.pool }.forEach { stageClient(it)?.cancel(spec.request) }
        release()
    }

    /** Releases all results, because the request has read them or no longer needs them. */
    fun release() = release(plan.takeRemaining())

    private fun release(results: List<StageResult>) = results
        .groupBy { spec.stages[it.stage].pool }
        .forEach { (pool, unneeded) -> stageClient(pool)?.release(unneeded.map { it.handle }) }

    private fun submit(pool: PoolName, ready: List<ReadyPiece>) {
        val client = stageClient(pool) ?: return fail("no endpoints are known for a stage")
        client.submit(ready.map(::toPiece)) { piece, outcome ->
            handleOutcome(PieceId(piece.stage, piece.index), pool, outcome)
        }
    }

    private fun toPiece(ready: ReadyPiece) = StagePiece(
        request = spec.request,
        stage = ready.id.stage,
        index = ready.id.index,
        key = spec.pieceKey,
        inputs = ready.inputs,
        priority = spec.priority,
        latestStart = spec.objectiveAt - timeToFirstEventFrom(ready.id.stage),
        deadline = spec.deadline,
        latestUsefulStart = latestUsefulStart(ready),
        resultBytes = spec.stages[ready.id.stage].resultBytes,
        preferredDataCentre = preferredDataCentre(ready),
        readers = ready.readers,
    )

    /**
     * Latest start of the piece's call that is still of use: the response must start or go on before the caller
     * disconnects and before the deadline, and the call must read its inputs before their endpoints drop them.
     */
    private fun latestUsefulStart(ready: ReadyPiece): Instant {
        val latestForCaller = minOf(callerTimeoutAt, spec.deadline) - timeToFirstEventFrom(ready.id.stage)
        return ready.inputs.mapNotNull { expiresAt[it] }.fold(latestForCaller, ::minOf)
    }

    private fun preferredDataCentre(ready: ReadyPiece): DataCentre? {
        val stage = ready.id.stage
        val isFinalStage = spec.stages.none { stage in it.inputStages }
        return when {
            ready.inputs.isNotEmpty() -> dataCentreOf(ready.inputs.first())
            isFinalStage && spec.stages[stage].resultBytes >= LARGE_RESULT_BYTES -> spec.readerDataCentre
            else -> null
        }
    }

    /** Expected time from the start of a call of the stage [index] to the first event of the response. */
    private fun timeToFirstEventFrom(index: Int): Duration {
        val nextStages = spec.stages.indices.filter { index in spec.stages[it].inputStages }
        val timeAfterCall = nextStages.maxOfOrNull { timeToFirstEventFrom(it) + QUEUEING_TIME } ?: FIRST_EVENT_TIME
        return timeAfterCall + (stageClient(spec.stages[index].pool)?.expectedCallTime ?: Duration.ZERO)
    }

    private fun handleOutcome(id: PieceId, pool: PoolName, outcome: PieceCallOutcome) {
        if (isFinished) return
        when (outcome) {
            is PieceCallOutcome.DeadlineUnreachable -> fail("its turn at a stage would come too late", outcome.backlog)
            is PieceCallOutcome.CallFailed ->
                if (outcome.inputsReleased) recompute(id, pool, outcome.reason) else retry(id, pool, outcome.reason)

            is PieceCallOutcome.ResultReturned -> {
                if (outcome.inputsReleased) plan.recordInputsReleased(id)
                handleResult(id, pool, outcome.result)
            }
        }
    }

    private fun handleResult(id: PieceId, pool: PoolName, result: PieceResult) {
        when (result) {
            is PieceResult.Made -> {
                val handle = ResultHandle(result.handle)
                stageClient(pool)?.let { expiresAt[handle] = thread.now() + it.resultRetention - EXPIRY_MARGIN }
                plan.recordResult(id, handle)
                advance()
            }

            PieceResult.Late -> fail("its deadline passed at a stage")
            PieceResult.InputsMissing -> recompute(id, pool, "results of an earlier stage are gone")
            PieceResult.NoMemory -> retry(id, pool, "an endpoint has no room for results")
            PieceResult.Failed -> retry(id, pool, "an endpoint failed to make a piece")
        }
    }

    /** Computes the inputs of a piece again and then the piece. This takes a retry from the budget of each pool. */
    private fun recompute(id: PieceId, pool: PoolName, reason: String) =
        retry(id, poolsOf(plan.invalidateInputs(id)) + pool, reason)

    private fun retry(id: PieceId, pool: PoolName, reason: String) = retry(id, setOf(pool), reason)

    private fun retry(id: PieceId, pools: Set<PoolName>, reason: String) {
        val count = (retryCounts[id] ?: 0) + 1
        retryCounts[id] = count
        if (count > MAXIMUM_RETRIES || !pools.all(::takeRetry)) return fail(reason)
        plan.recordFailure(id)
        thread.after(RETRY_DELAY) { advance() }
    }

    /** Takes a retry from the budget. Pieces of the request that failed in the same call count as one retry. */
    private fun takeRetry(pool: PoolName): Boolean {
        val now = thread.now()
        val granted = retryGrantedAt[pool]
        if (granted != null && now - granted < SAME_CALL_WINDOW) return true
        if (!retryBudget.tryRetry(pool, now)) return false
        retryGrantedAt[pool] = now
        return true
    }

    private fun poolsOf(stages: Set<Int>): Set<PoolName> = stages.mapTo(mutableSetOf()) { spec.stages[it].pool }

    private fun fail(reason: String, retryAfter: Duration = RETRY_DELAY) {
        if (isFinished) return
        end()
        listener.notPrepared(reason, retryAfter)
    }

    private companion object {
        const val LARGE_RESULT_BYTES = 200_000L
        const val MAXIMUM_RETRIES = 3

        /** Expected time that a call of a later stage waits in the queue. */
        val QUEUEING_TIME = 200.milliseconds

        /** Expected time from the end of the last stage to the first event of the response. */
        val FIRST_EVENT_TIME = 250.milliseconds
        val RETRY_DELAY = 100.milliseconds
        val SAME_CALL_WINDOW = 20.milliseconds

        /** Time for a call to reach its endpoint, and for its response to come back. */
        val EXPIRY_MARGIN = 200.milliseconds
    }
}
