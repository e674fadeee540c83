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
 * explains comes first. Parts with equally many that share crashes are tied, and wait for more evidence.
 *
 * @param hasSucceeded whether a request with the part is known to have been answered successfully before
 */
internal class CrashCover(private val limits: QuarantineLimits, private val hasSucceeded: (PromptPartId) -> Boolean) {
    /** Returns the parts that explain [crashes]. */
    fun explain(crashes: List<SuspectedCrash>): Set<PromptPartId> {
        val explaining = mutableSetOf<PromptPartId>()
        var unexplained = crashes
        while (true) {
            val best = bestParts(unexplained)
            if (best.isEmpty()) return explaining
            explaining += best.filter { it.value.size >= limits.crashesOfTied || !isTied(it.key, best) }.keys
            // The crashes of tied parts are left to these: one of them is the cause.
            unexplained = unexplained.filter { crash -> crash.suspects.none { it in best } }
        }
    }

    /** Returns the parts with the most crashes that suffice, with these crashes. */
    private fun bestParts(crashes: List<SuspectedCrash>): Map<PromptPartId, List<SuspectedCrash>> {
        val sufficient = crashes
            .flatMap { crash -> crash.suspects.map { it to crash } }
            .groupBy({ it.first }, { it.second })
            .filter { isSufficient(it.key, it.value) }
        val most = sufficient.values.maxOfOrNull { it.size } ?: return emptyMap()
        val best = sufficient.filterValues { it.size == most }
        return best.filterKeys { !hasSucceeded(it) }.ifEmpty { best }
    }

    private fun isSufficient(part: PromptPartId, crashes: List<SuspectedCrash>): Boolean {
        if (!hasSucceeded(part)) return crashes.size >= limits.crashes
        val span = crashes.maxOf { it.at } - crashes.minOf { it.at }
        return crashes.size >= limits.crashesOfTied && span >= limits.succeededSpan
    }

    private fun isTied(part: PromptPartId, best: Map<PromptPartId, List<SuspectedCrash>>): Boolean {
        val crashes = best.getValue(part).toSet()
        return best.any { (other, otherCrashes) -> other != part && otherCrashes.any { it in crashes } }
    }
}
