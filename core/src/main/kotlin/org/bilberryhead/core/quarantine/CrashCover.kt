package org.bilberryhead.core.quarantine

import org.bilberryhead.core.serving.PromptPartId
import kotlin.time.Instant

/**
 * A crash, as the decision sees it.
 *
 * @property at when this entry first knew of it
 * @property suspects the parts that may have caused it
 */
internal class SuspectedCrash(val id: CrashId, val at: Instant, val suspects: Set<PromptPartId>)

/**
 * Decides which parts explain crashes best: a greedy set cover. The part with the most crashes that no other one
 * explains comes first, and parts that are not known to have succeeded come before those that are. Parts that were in
 * the same crashes explain them together; parts with equally many that share only some crashes are tied, and wait for
 * more evidence.
 *
 * @param hasSucceeded whether a request with the part is known to have been answered successfully before
 */
internal class CrashCover(private val limits: QuarantineLimits, private val hasSucceeded: (PromptPartId) -> Boolean) {
    /** Returns sets of parts that together explain [crashes]; of each set, one part is the cause. */
    fun explain(crashes: List<SuspectedCrash>): List<Set<PromptPartId>> {
        val explaining = mutableListOf<Set<PromptPartId>>()
        var unexplained = crashes
        while (true) {
            val best = bestParts(unexplained)
            if (best.isEmpty()) return explaining
            explaining += setsOf(best)
            // The crashes of tied parts are left to these: one of them is the cause.
            unexplained = unexplained.filter { crash -> crash.suspects.none { it in best } }
        }
    }

    /** Returns the sets of parts with the same crashes, unless other ones fit some of these crashes as well. */
    private fun setsOf(best: Map<PromptPartId, Set<SuspectedCrash>>): List<Set<PromptPartId>> {
        val partsByCrashes = best.keys.groupBy { best.getValue(it) }
        return partsByCrashes
            .filterKeys { it.size >= limits.crashesOfTied || !isTied(it, partsByCrashes.keys) }
            .flatMap { (crashes, parts) -> split(parts, crashes.size) }
    }

    private fun split(parts: List<PromptPartId>, crashCount: Int): List<Set<PromptPartId>> {
        val isTogether = crashCount < limits.crashesOfTied || parts.size <= limits.maximumTogether
        return if (isTogether) listOf(parts.toSet()) else parts.map { setOf(it) }
    }

    private fun isTied(crashes: Set<SuspectedCrash>, others: Set<Set<SuspectedCrash>>): Boolean =
        others.any { other -> other != crashes && other.any { it in crashes } }

    /** Returns the parts with the most crashes that suffice, with these crashes. */
    private fun bestParts(crashes: List<SuspectedCrash>): Map<PromptPartId, Set<SuspectedCrash>> {
        val sufficient = crashesByPart(crashes).filter { isSufficient(it.key, it.value) }
        // A part that all prompts of a route share is in all of their crashes, also in those that it did not cause.
        val candidates = sufficient.filterKeys { !hasSucceeded(it) }.ifEmpty { sufficient }
        val most = candidates.values.maxOfOrNull { it.size } ?: return emptyMap()
        return candidates.filterValues { it.size == most }
    }

    /** Returns the crashes of the parts that are in enough of them. Most parts are in few, and cost a count only. */
    private fun crashesByPart(crashes: List<SuspectedCrash>): Map<PromptPartId, Set<SuspectedCrash>> {
        val counts = HashMap<PromptPartId, Int>()
        crashes.forEach { crash -> crash.suspects.forEach { counts.merge(it, 1, Int::plus) } }
        counts.values.removeAll { it < limits.crashes }
        return counts.keys.associateWith { part -> crashes.filterTo(mutableSetOf()) { part in it.suspects } }
    }

    private fun isSufficient(part: PromptPartId, crashes: Set<SuspectedCrash>): Boolean {
        if (!hasSucceeded(part)) return crashes.size >= limits.crashes
        val span = crashes.maxOf { it.at } - crashes.minOf { it.at }
        return crashes.size >= limits.crashesOfTied && span >= limits.succeededSpan
    }
}
