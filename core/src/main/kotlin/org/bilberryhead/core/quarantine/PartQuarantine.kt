package org.bilberryhead.core.quarantine

import org.bilberryhead.core.serving.PromptPartId
import kotlin.time.Instant

/**
 * Decides which parts of prompts crash endpoints, and are therefore not sent to them.
 *
 * A part is suspected by a crash when the endpoint was about to answer a request with it. A part that crashes endpoints
 * never succeeds, so a success clears a part of all crashes that are known by then. What is left is explained by as few
 * parts as possible ([CrashCover]). The decision depends on the reports only and not on their order, except that the
 * times are those at which this entry learnt of them: entries that have read the same reports decide alike.
 */
class PartQuarantine(private val limits: QuarantineLimits = QuarantineLimits()) {
    private class Crash(val knownSince: Instant) {
        val suspects = mutableSetOf<PromptPartId>()
        val cleared = mutableSetOf<PromptPartId>()
        val ownSuspects = mutableSetOf<PromptPartId>()
        val ownCleared = mutableSetOf<PromptPartId>()

        val remaining: Set<PromptPartId> get() = suspects - cleared

        val hasOwnReport: Boolean get() = ownSuspects.isNotEmpty() || ownCleared.isNotEmpty()
    }

    private val crashes = LinkedHashMap<CrashId, Crash>()
    private val succeeded = SucceededParts(limits.maximumSucceeded, limits.retention)
    private var suspectedParts = emptySet<PromptPartId>()

    /** The parts that are quarantined, alone or together. */
    var quarantined: List<QuarantinedParts> = emptyList()
        private set

    /** Number of crashes that are remembered. */
    val crashCount: Int get() = crashes.size

    /** Number of parts of which a success is remembered. */
    val succeededCount: Int get() = succeeded.size

    /** The reports of this entry, for the other entries. */
    val ownReports: List<CrashReport>
        get() = crashes.filterValues { it.hasOwnReport }
            .map { (id, crash) -> CrashReport(id, crash.ownSuspects.toSet(), crash.ownCleared.toSet()) }

    /** Returns why a request with [parts] may not be sent, or null when it may. */
    fun quarantineOf(parts: List<PromptPartId>): QuarantinedParts? =
        quarantined.firstOrNull { parts.containsAll(it.parts) }

    /** Records a [report]; [isOwn] when it is one of this entry. Returns whether it says anything new. */
    fun record(report: CrashReport, now: Instant, isOwn: Boolean = false): Boolean {
        val crash = crashes[report.crash] ?: Crash(now)
        val suspects = report.suspects.filter { it.value.length <= limits.maximumIdLength }
        val cleared = report.cleared.filter { it.value.length <= limits.maximumIdLength }
        val isNew = listOf(
            addLimited(crash.suspects, suspects),
            addLimited(crash.cleared, cleared),
            isOwn && addLimited(crash.ownSuspects, suspects),
            isOwn && addLimited(crash.ownCleared, cleared),
        ).any { it }
        if (isNew) {
            crashes[report.crash] = crash
            forgetSurplus()
            decide(now)
        }
        return isNew
    }

    /**
     * Records that a request with [parts] was answered successfully. Returns whether that clears a part that is close
     * to a quarantine or in it, so that the other entries should know soon.
     */
    fun recordSuccess(parts: List<PromptPartId>, now: Instant): Boolean {
        parts.filter { it.value.length <= limits.maximumIdLength }.forEach { succeeded.add(it, now) }
        val cleared = parts.filter { it in suspectedParts }
        if (cleared.isEmpty()) return false
        val highestCount = cleared.maxOf { part -> clear(part) }
        decide(now)
        return highestCount >= limits.crashes - 1
    }

    /** Clears [part] of all known crashes, and returns their number. */
    private fun clear(part: PromptPartId): Int {
        val suspecting = crashes.values.filter { part in it.remaining }
        suspecting.forEach {
            it.cleared += part
            it.ownCleared += part
        }
        return suspecting.size
    }

    /** Forgets the crashes that no longer count. To be called at intervals; returns whether own reports ended. */
    fun expire(now: Instant): Boolean {
        val expired = crashes.filter { (id, crash) ->
            val holding = quarantined.filter { id in it.crashes }.maxOfOrNull { it.until }
            now >= (holding ?: (crash.knownSince + limits.retention))
        }
        if (expired.isEmpty()) return false
        crashes.keys.removeAll(expired.keys)
        decide(now)
        return expired.values.any { it.hasOwnReport }
    }

    /** Removes the oldest crashes beyond the maximum; those that a quarantine is based on are kept longer. */
    private fun forgetSurplus() {
        while (crashes.size > limits.maximumCrashes) {
            val oldest = crashes.keys.firstOrNull { id -> quarantined.none { id in it.crashes } }
            crashes.remove(oldest ?: crashes.keys.first())
        }
    }

    private fun decide(now: Instant) {
        val suspected = crashes.map { (id, crash) -> SuspectedCrash(id, crash.knownSince, crash.remaining) }
        suspectedParts = suspected.flatMapTo(mutableSetOf()) { it.suspects }
        quarantined = CrashCover(limits) { succeeded.contains(it, now) }.explain(suspected).map { parts ->
            val own = suspected.filter { it.suspects.containsAll(parts) }
            QuarantinedParts(parts, own.mapTo(mutableSetOf()) { it.id }, own.maxOf { it.at } + limits.retention)
        }
    }

    private fun addLimited(target: MutableSet<PromptPartId>, parts: Collection<PromptPartId>): Boolean {
        val added = parts.filter { it !in target }.take(limits.maximumSuspects - target.size)
        return target.addAll(added)
    }
}
