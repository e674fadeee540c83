package org.bilberryhead.core.serving

/** Names one piece of one stage of a request. */
data class PieceId(val stage: Int, val index: Int)

/**
 * A piece that can be made now, and the results that it reads.
 *
 * @property readers pieces that read the same inputs, this one too; 0 when pieces of other stages read them as well
 */
data class ReadyPiece(val id: PieceId, val inputs: List<ResultHandle>, val readers: Int)

/** The result of a piece of [stage]. */
data class StageResult(val stage: Int, val handle: ResultHandle)

/**
 * The pieces of the preparation stages of one request: which can be made, which are made, what the request is given.
 *
 * @param pieces how many pieces each stage has; a stage with none is left out
 */
class PreparationPlan(private val stages: List<PreparationStage>, private val pieces: List<Int>) {
    private val results = mutableMapOf<PieceId, ResultHandle>()
    private val asked = mutableSetOf<PieceId>()
    private val freed = mutableSetOf<ResultHandle>()
    private val forgotten = mutableListOf<StageResult>()

    /** Whether every piece is made. */
    val isComplete: Boolean get() = stages.indices.all(::isStageMade)

    /** Returns the pieces that can be made and were not returned before. */
    fun takeReady(): List<ReadyPiece> = stages.indices
        .filter { stage -> stages[stage].inputStages.all(::isStageMade) }
        .flatMap { stage ->
            idsOf(stage).filter { it !in results && asked.add(it) }
                .map { ReadyPiece(it, inputsOf(stage), readersOf(stage)) }
        }

    /** The piece [id] is made. */
    fun recordResult(id: PieceId, handle: ResultHandle) {
        results[id] = handle
    }

    /** The piece [id] has to be asked for again. */
    fun recordFailure(id: PieceId) {
        asked -= id
    }

    /** The results that [id] is made from were given up on its behalf. */
    fun recordInputsReleased(id: PieceId) {
        freed += inputsOf(id.stage)
    }

    /** Results that [id] was to be made from are gone: the stages before it are made again, which are returned. */
    fun invalidateInputs(id: PieceId): Set<Int> {
        asked -= id
        return stages[id.stage].inputStages.flatMapTo(mutableSetOf(), ::forget)
    }

    /** All results are gone, or were freed: everything is made again. Returns the stages that have pieces. */
    fun restart(): Set<Int> {
        results.forEach { (id, handle) -> forgotten += StageResult(id.stage, handle) }
        results.clear()
        asked.clear()
        return stages.indices.filterTo(mutableSetOf()) { idsOf(it).isNotEmpty() }
    }

    /** The results that the request is given: those of the stages that no other stage follows, in order. */
    fun finalResults(): List<ResultHandle> {
        val followed = stages.flatMapTo(mutableSetOf()) { it.inputStages }
        return stages.indices.filter { it !in followed }.flatMap(::resultsOf)
    }

    /** Returns results that nothing reads any more and that were not returned before. */
    fun takeUnused(): List<StageResult> = stages.indices
        .filter { stage -> followers(stage).let { it.isNotEmpty() && it.all(::isStageMade) } }
        .flatMap { stage -> resultsOf(stage).map { StageResult(stage, it) } }
        .plus(takeForgotten())
        .filter { freed.add(it.handle) }

    /** Returns every result that is left, for the end of the request. */
    fun takeRemaining(): List<StageResult> = results
        .map { (id, handle) -> StageResult(id.stage, handle) }
        .plus(takeForgotten())
        .filter { freed.add(it.handle) }

    /** Results that are made again, of which some may still be held. */
    private fun takeForgotten(): List<StageResult> = forgotten.toList().also { forgotten.clear() }

    private fun forget(stage: Int): Set<Int> {
        idsOf(stage).forEach { id ->
            results.remove(id)?.let { forgotten += StageResult(stage, it) }
            asked -= id
        }
        return stages[stage].inputStages.flatMapTo(mutableSetOf(stage), ::forget)
    }

    private fun readersOf(stage: Int): Int {
        val isOnlyReader = stages[stage].inputStages.all { followers(it) == listOf(stage) }
        return if (isOnlyReader) idsOf(stage).size else 0
    }

    private fun followers(stage: Int): List<Int> = stages.indices.filter { stage in stages[it].inputStages }

    private fun isStageMade(stage: Int): Boolean = idsOf(stage).all { it in results }

    private fun inputsOf(stage: Int): List<ResultHandle> = stages[stage].inputStages.flatMap(::resultsOf)

    private fun resultsOf(stage: Int): List<ResultHandle> = idsOf(stage).mapNotNull { results[it] }

    private fun idsOf(stage: Int): List<PieceId> = List(pieces.getOrElse(stage) { 1 }) { PieceId(stage, it) }
}
