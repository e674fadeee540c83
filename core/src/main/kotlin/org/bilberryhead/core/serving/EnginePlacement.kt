package org.bilberryhead.core.serving

import org.bilberryhead.core.common.DataCentre
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Chooses the engine of a generation: the earliest first event, with a preference for engines that hold the prompt.
 *
 * Load that this answers: bursts of long prompts with shared parts, on engines that differ in speed. All entries rank
 * the engines for a shared part alike by rendezvous hashing, without telling each other, and go down the ranks only
 * while an engine is busier than those that follow.
 */
class EnginePlacement(private val own: DataCentre) {
    /**
     * Returns the engine for [prompt], or null without candidates.
     *
     * @param near where the inputs of the generation lie, if they are large
     */
    fun choose(
        candidates: List<EndpointEntry>,
        prompt: Prompt,
        books: (EndpointEntry) -> EngineLoad,
        near: DataCentre?,
        now: Instant,
    ): EndpointEntry? {
        val shared = prompt.lastSharedPart ?: return candidates.minByOrNull { cost(it, prompt, books(it), near, now) }
        return candidates
            .sortedByDescending { rendezvousWeight(shared.id.value, it.id.value) }
            .withIndex()
            .minByOrNull { (rank, candidate) ->
                rankCost(rank) +
                    cost(candidate, prompt, books(candidate), near, now, rank)
            }
            ?.value
    }

    /** Where the engine is that ranks first for [prompt], or null without candidates. */
    fun preferredDataCentre(prompt: Prompt, candidates: List<EndpointEntry>): DataCentre? =
        prompt.lastSharedPart?.let { shared ->
            candidates.maxByOrNull { rendezvousWeight(shared.id.value, it.id.value) }?.dataCentre
        }

    private fun cost(
        candidate: EndpointEntry,
        prompt: Prompt,
        book: EngineLoad,
        near: DataCentre?,
        now: Instant,
        rank: Int = Int.MAX_VALUE,
    ): Duration {
        val known = book.prefillTokens(prompt, now)
        val ownPart = prompt.inputTokens - prompt.parts.dropLast(1).sumOf { it.tokens }
        // Another entry has most likely had the shared parts read by the engine that ranks first.
        val tokens = if (rank == 0) minOf(known, maxOf(ownPart, 0)) else known
        val distance = if (candidate.dataCentre == own) Duration.ZERO else DISTANCE
        val transfer = if (near == null || candidate.dataCentre == near) Duration.ZERO else LARGE_INPUTS
        return book.expectedTimeToFirstEvent(tokens, now) + distance + transfer
    }

    private fun rankCost(rank: Int): Duration = RANK_STEP * rank.coerceAtMost(LAST_RANK)

    private companion object {
        val DISTANCE = 5.milliseconds
        val LARGE_INPUTS = 60.milliseconds
        val RANK_STEP = 40.milliseconds
        const val LAST_RANK = 3
    }
}
