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
        /** Parts that may be the cause, without those in [cleared]. */
        val suspects = mutableSetOf<PromptPartId>()
        val cleared = mutableSetOf<PromptPartId>()
        val ownSuspects = mutableSetOf<PromptPartId>()
        val ownCleared = mutableSetOf<PromptPartId>()

        val partCount: Int get() = suspects.size + cleared.size

        val hasOwnReport: Boolean get() = ownSuspects.isNotEmpty() || ownCleared.isNotEmpty()

        /** Clears [parts]; returns whether that was not known. */
        fun clear(parts: Collection<PromptPartId>, isOwn: Boolean): Boolean {
            suspects.removeAll(parts.toSet())
            ownSuspects.removeAll(parts.toSet())
            val isNewOwn = isOwn && ownCleared.addAll(parts)
            return cleared.addAll(parts) || isNewOwn
        }

        /** Adds suspects unless they are cleared; returns whether that was not known. */
        fun suspect(parts: Collection<PromptPartId>, isOwn: Boolean): Boolean {
            val uncleared = parts.filter { it !in cleared }
            val isNewOwn = isOwn && ownSuspects.addAll(uncleared)
            return suspects.addAll(uncleared) || isNewOwn
        }
    }

    private val crashes = LinkedHashMap<CrashId, Crash>()
    private val succeeded = SucceededParts(limits.maximumSucceeded, limits.retention)
    private var suspectedParts = emptySet<PromptPartId>()

    /** The parts that are quarantined, alone or together. */
    var quarantined: List<QuarantinedParts> = emptyList()
        private set

    /** Number of parts that one crash left beyond the maximum, and that are not held for suspects. */
    var droppedSuspects: Long = 0
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
        val isCleared = crash.clear(withinLimit(crash, report.cleared, now), isOwn)
        val isSuspected = crash.suspect(withinLimit(crash, report.suspects, now), isOwn)
        if (!isCleared && !isSuspected) return false
        crashes[report.crash] = crash
        forgetSurplus(report.crash)
        decide(now)
        return true
    }

    /**
     * Returns as many of [parts] as one crash may have. Only prompts that fill the heads of several requests exceed
     * that; the parts that have succeeded are left out first then, as a part that crashes endpoints does not succeed.
     */
    private fun withinLimit(crash: Crash, parts: Set<PromptPartId>, now: Instant): Collection<PromptPartId> {
        val room = limits.maximumSuspects - crash.partCount
        if (parts.size <= room) return parts
        val known = parts.filter { it in crash.suspects || it in crash.cleared }
        val added = (parts - known.toSet()).sortedBy { succeeded.contains(it, now) }.take(room.coerceAtLeast(0))
        droppedSuspects += parts.size - known.size - added.size
        return known + added
    }

    /**
     * Records that a request with [parts] was answered successfully. Returns whether that clears a part that is close
     * to a quarantine or in it, so that the other entries should know soon.
     */
    fun recordSuccess(parts: List<PromptPartId>, now: Instant): Boolean {
        parts.forEach { succeeded.add(it, now) }
        val cleared = parts.filter { it in suspectedParts }
        if (cleared.isEmpty()) return false
        val highestCount = cleared.maxOf { part -> clear(part) }
        decide(now)
        return highestCount >= limits.crashes - 1
    }

    /** Clears [part] of all known crashes, and returns their number. */
    private fun clear(part: PromptPartId): Int {
        val suspecting = crashes.values.filter { part in it.suspects }
        suspecting.forEach { it.clear(listOf(part), isOwn = true) }
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

    /**
     * Removes the oldest crashes beyond the maximum, of crashes or of parts, but not the [newest]; those that a
     * quarantine is based on are kept longer. A crash is removed as a whole, so that no part of it goes unnoticed.
     */
    private fun forgetSurplus(newest: CrashId) {
        while (crashes.size > limits.maximumCrashes || crashes.values.sumOf { it.partCount } > limits.maximumSuspects) {
            val others = crashes.keys.filter { it != newest }
            crashes.remove(others.firstOrNull { id -> quarantined.none { id in it.crashes } } ?: others.first())
        }
    }

    private fun decide(now: Instant) {
        val suspected = crashes.map { (id, crash) -> SuspectedCrash(id, crash.knownSince, crash.suspects) }
        suspectedParts = suspected.flatMapTo(HashSet()) { it.suspects }
        quarantined = CrashCover(limits) { succeeded.contains(it, now) }.explain(suspected).map { parts ->
            val own = suspected.filter { it.suspects.containsAll(parts) }
            QuarantinedParts(parts, own.mapTo(mutableSetOf()) { it.id }, own.maxOf { it.at } + limits.retention)
        }
    }
}
