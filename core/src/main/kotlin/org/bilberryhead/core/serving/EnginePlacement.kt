package org.bilberryhead.core.serving

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Chooses the engine of a generation: the earliest first event, with a preference for engines that hold the prompt and
 * for the data centre of its inputs.
 *
 * Load that this answers: bursts of long prompts with shared parts, on engines that differ in speed. All entries prefer
 * the same engine for a shared part by rendezvous hashing, without telling each other, until it is busier than others.
 */
class EnginePlacement(private val own: DataCentre) {
    /**
     * Returns the engine for [prompt], or null without candidates.
     *
     * @param heavyInputs whether the inputs of the generation are costly to carry between data centres
     */
    fun choose(
        candidates: List<EndpointEntry>,
        prompt: Prompt,
        books: (EndpointEntry) -> EngineBook,
        heavyInputs: Boolean,
        now: Instant,
    ): EndpointEntry? {
        val part = prompt.lastSharedPart
        val home = part?.let { shared ->
            val local = candidates.filter { it.dataCentre == own }.ifEmpty { candidates }
            local.maxByOrNull { rendezvousWeight(shared.id.value, it.id) }?.id
        }
        return candidates.minByOrNull { cost(it, it.id == home, prompt, books(it), heavyInputs, now) }
    }

    private fun cost(
        candidate: EndpointEntry,
        isHome: Boolean,
        prompt: Prompt,
        book: EngineBook,
        heavyInputs: Boolean,
        now: Instant,
    ): Duration {
        val known = book.tokensToRead(prompt, now)
        val shared = prompt.inputTokens - (prompt.parts.lastOrNull()?.tokens ?: 0)
        val tokens = if (isHome) minOf(known, prompt.inputTokens - shared / 2) else known
        val distance = if (candidate.dataCentre == own) Duration.ZERO else distanceCost(heavyInputs)
        val rank = if (isHome) Duration.ZERO else NOT_HOME
        return book.expectedFirstEvent(tokens, now) + distance + rank
    }

    private fun distanceCost(heavyInputs: Boolean): Duration = if (heavyInputs) HEAVY_DISTANCE else LIGHT_DISTANCE

    private companion object {
        val HEAVY_DISTANCE = 500.milliseconds
        val LIGHT_DISTANCE = 30.milliseconds
        val NOT_HOME = 15.milliseconds
    }
}

/** A weight by which all processes rank endpoints alike for a key. */
internal fun rendezvousWeight(key: String, endpoint: EndpointId): Int {
    val mixed = key.hashCode() * HASH_MULTIPLIER xor endpoint.value.hashCode()
    return (mixed xor (mixed ushr HASH_SHIFT)) * HASH_MULTIPLIER
}

private const val HASH_MULTIPLIER = -1640531535
private const val HASH_SHIFT = 15
