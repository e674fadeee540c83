package org.bilberryhead.core.serving

import org.bilberryhead.core.common.DataCentre
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Chooses the engine for a generation: the one with the earliest expected first event, with a preference for engines
 * whose prefix cache holds the prompt.
 *
 * Designed for bursts of long prompts with shared parts, on engines that differ in speed. All entries compute the
 * same ranking of the engines for a shared part by rendezvous hashing, without communication. They use an engine of a
 * lower rank only when the engines above it are much busier.
 *
 * @param ownDataCentre the data centre of this entry
 */
class EnginePlacement(private val ownDataCentre: DataCentre) {
    /**
     * Returns the engine for [prompt], or null when there are no candidates.
     *
     * @param loadOf returns the load of an engine
     * @param inputLocation data centre that holds the inputs of the generation, or null when they are small
     */
    fun choose(
        candidates: List<EndpointEntry>,
        prompt: Prompt,
        loadOf: (EndpointEntry) -> EngineLoad,
        inputLocation: DataCentre?,
        now: Instant,
    ): EndpointEntry? {
        val shared = prompt.lastSharedPart ?: return candidates.minByOrNull {
            cost(it, prompt, loadOf(it), inputLocation, now)
        }
        return candidates
            .sortedByDescending { rendezvousWeight(shared.id.value, it.id.value) }
            .withIndex()
            .minByOrNull { (rank, candidate) ->
                rankPenalty(rank) +
                    cost(candidate, prompt, loadOf(candidate), inputLocation, now, rank)
            }
            ?.value
    }

    /** Data centre of the engine that ranks first for [prompt], or null when there are no candidates. */
    fun preferredDataCentre(prompt: Prompt, candidates: List<EndpointEntry>): DataCentre? =
        prompt.lastSharedPart?.let { shared ->
            candidates.maxByOrNull { rendezvousWeight(shared.id.value, it.id.value) }?.dataCentre
        }

    private fun cost(
        candidate: EndpointEntry,
        prompt: Prompt,
        load: EngineLoad,
        inputLocation: DataCentre?,
        now: Instant,
        rank: Int = Int.MAX_VALUE,
    ): Duration {
        val uncachedTokens = load.prefillTokens(prompt, now)
        val unsharedTokens = prompt.inputTokens - prompt.parts.dropLast(1).sumOf { it.tokens }
        // The first engine most likely has the shared parts in its prefix cache, from requests of other entries.
        val tokens = if (rank == 0) minOf(uncachedTokens, maxOf(unsharedTokens, 0)) else uncachedTokens
        val networkDelay = if (candidate.dataCentre == ownDataCentre) Duration.ZERO else REMOTE_ENGINE_DELAY
        val transferDelay =
            if (inputLocation == null || candidate.dataCentre == inputLocation) Duration.ZERO else INPUT_TRANSFER_DELAY
        return load.expectedTimeToFirstEvent(tokens, now) + networkDelay + transferDelay
    }

    private fun rankPenalty(rank: Int): Duration = RANK_PENALTY * rank.coerceAtMost(MAXIMUM_PENALTY_RANK)

    private companion object {
        val REMOTE_ENGINE_DELAY = 5.milliseconds
        val INPUT_TRANSFER_DELAY = 60.milliseconds
        val RANK_PENALTY = 40.milliseconds
        const val MAXIMUM_PENALTY_RANK = 3
    }
}
