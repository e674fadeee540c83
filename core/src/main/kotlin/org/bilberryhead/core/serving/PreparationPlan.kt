package org.bilberryhead.core.serving

/** Identifies a piece of a stage within a request. */
data class PieceId(val stage: Int, val index: Int)

/**
 * A piece that can be computed now, and the results that it reads.
 *
 * @property readers number of pieces that read the same inputs, including this one; 0 when pieces of other stages read
 *   them as well
 */
data class ReadyPiece(val id: PieceId, val inputs: List<ResultHandle>, val readers: Int)

/** The result of a piece of [stage]. */
data class StageResult(val stage: Int, val handle: ResultHandle)

/**
 * Tracks the pieces of the preparation stages of one request: which can be computed, which are complete, and which
 * results the request reads.
 *
 * @param pieces number of pieces of each stage; a stage with 0 pieces is skipped
 */
class PreparationPlan(private val stages: List<PreparationStage>, private val pieces: List<Int>) {
    private val results = mutableMapOf<PieceId, ResultHandle>()
    private val requested = mutableSetOf<PieceId>()
    private val released = mutableSetOf<ResultHandle>()
    private val discarded = mutableListOf<StageResult>()

    /** Whether every piece is complete. */
    val isComplete: Boolean get() = stages.indices.all(::isStageComplete)

    /** Returns the pieces that can be computed and were not returned before. */
    fun takeReady(): List<ReadyPiece> = stages.indices
        .filter { stage -> stages[stage].inputStages.all(::isStageComplete) }
        .flatMap { stage ->
            pieceIdsOf(stage).filter { it !in results && requested.add(it) }
                .map { ReadyPiece(it, inputsOf(stage), readersOf(stage)) }
        }

    /** Records the result of the piece [id]. */
    fun recordResult(id: PieceId, handle: ResultHandle) {
        results[id] = handle
    }

    /** Records that the piece [id] failed, so that [takeReady] returns it again. */
    fun recordFailure(id: PieceId) {
        requested -= id
    }

    /** Records that the inputs of [id] were released already. */
    fun recordInputsReleased(id: PieceId) {
        released += inputsOf(id.stage)
    }

    /** Records that inputs of [id] are lost. Returns the stages before it, which have to be computed again. */
    fun invalidateInputs(id: PieceId): Set<Int> {
        requested -= id
        return stages[id.stage].inputStages.flatMapTo(mutableSetOf(), ::discard)
    }

    /** Discards all results, because they are lost or released. Returns the stages that have to be computed again. */
    fun restart(): Set<Int> {
        results.forEach { (id, handle) -> discarded += StageResult(id.stage, handle) }
        results.clear()
        requested.clear()
        return stages.indices.filterTo(mutableSetOf()) { pieceIdsOf(it).isNotEmpty() }
    }

    /** The results that the request itself reads: those of the stages that no other stage reads, in order. */
    fun finalResults(): List<ResultHandle> {
        val read = stages.flatMapTo(mutableSetOf()) { it.inputStages }
        return stages.indices.filter { it !in read }.flatMap(::resultsOf)
    }

    /** Returns results that no piece will read any more and that were not returned before. */
    fun takeUnused(): List<StageResult> = stages.indices
        .filter { stage -> dependents(stage).let { it.isNotEmpty() && it.all(::isStageComplete) } }
        .flatMap { stage -> resultsOf(stage).map { StageResult(stage, it) } }
        .plus(takeDiscarded())
        .filter { released.add(it.handle) }

    /** Returns all results that are not released yet; called at the end of the request. */
    fun takeRemaining(): List<StageResult> = results
        .map { (id, handle) -> StageResult(id.stage, handle) }
        .plus(takeDiscarded())
        .filter { released.add(it.handle) }

    /** Discarded results, some of which an endpoint may still keep. */
    private fun takeDiscarded(): List<StageResult> = discarded.toList().also { discarded.clear() }

    private fun discard(stage: Int): Set<Int> {
        pieceIdsOf(stage).forEach { id ->
            results.remove(id)?.let { discarded += StageResult(stage, it) }
            requested -= id
        }
        return stages[stage].inputStages.flatMapTo(mutableSetOf(stage), ::discard)
    }

    private fun readersOf(stage: Int): Int {
        val isOnlyReader = stages[stage].inputStages.all { dependents(it) == listOf(stage) }
        return if (isOnlyReader) pieceIdsOf(stage).size else 0
    }

    private fun dependents(stage: Int): List<Int> = stages.indices.filter { stage in stages[it].inputStages }

    private fun isStageComplete(stage: Int): Boolean = pieceIdsOf(stage).all { it in results }

    private fun inputsOf(stage: Int): List<ResultHandle> = stages[stage].inputStages.flatMap(::resultsOf)

    private fun resultsOf(stage: Int): List<ResultHandle> = pieceIdsOf(stage).mapNotNull { results[it] }

    private fun pieceIdsOf(stage: Int): List<PieceId> = List(pieces.getOrElse(stage) { 1 }) { PieceId(stage, it) }
}
