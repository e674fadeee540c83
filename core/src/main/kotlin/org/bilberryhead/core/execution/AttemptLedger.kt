package org.bilberryhead.core.execution

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.message.RefusalReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** What a sidecar's ledger holds of an attempt. */
sealed interface LedgerEntry {
    /** The attempt did not run and never will. [movedTo] is set once, by the first recorded move. */
    data class Tombstone(val reason: RefusalReason, val movedTo: AttemptLocation? = null) : LedgerEntry

    /** The attempt is accepted: it waits in the queue or runs. */
    data class Accepted(val fingerprint: AttemptFingerprint, val frames: List<Payload>) : LedgerEntry

    /** The endpoint answered completely. */
    data class Finished(val fingerprint: AttemptFingerprint, val frames: List<Payload>) : LedgerEntry

    /** The endpoint was given the attempt and failed; it may have taken effect. */
    data class Failed(val detail: String) : LedgerEntry
}

/** Identifies the work behind an attempt id, so that an id that is used for other work is noticed. */
data class AttemptFingerprint(val clientAccount: ClientAccount, val payloadHash: Int)

/**
 * Limits of an [AttemptLedger].
 *
 * @property retention how long an attempt that has ended is remembered
 * @property maximumEnded number of ended attempts beyond which the oldest are forgotten early
 */
data class LedgerLimits(val retention: Duration = 10.minutes, val maximumEnded: Int = 20_000)

/**
 * Remembers every attempt that one sidecar run has seen. An attempt id is admitted once; a query for an id that was
 * never seen leaves a tombstone, so that a late copy of its dispatch can not run.
 *
 * Not safe for use by several threads.
 */
class AttemptLedger(private val limits: LedgerLimits = LedgerLimits()) {
    private val entries = HashMap<AttemptId, LedgerEntry>()
    private val ended = LinkedHashMap<AttemptId, Instant>()

    /** Number of attempts remembered. */
    val size: Int get() = entries.size

    /** Returns what is known of [attempt], or null when it was never seen or is forgotten. */
    operator fun get(attempt: AttemptId): LedgerEntry? = entries[attempt]

    /** Records that [attempt] is accepted. */
    fun accept(attempt: AttemptId, fingerprint: AttemptFingerprint) {
        check(attempt !in entries) { "attempt $attempt is in the ledger" }
        entries[attempt] = LedgerEntry.Accepted(fingerprint, emptyList())
    }

    /** Records that [attempt] never runs. An attempt that has run keeps its entry. */
    fun bury(attempt: AttemptId, reason: RefusalReason, now: Instant): LedgerEntry {
        val known = entries[attempt]
        if (known != null && known !is LedgerEntry.Accepted) return known
        return end(attempt, LedgerEntry.Tombstone(reason), now)
    }

    /** Records where the refused [attempt] is moved, unless a move is recorded; returns the one that stands. */
    fun recordMove(attempt: AttemptId, target: AttemptLocation): LedgerEntry? {
        val known = entries[attempt]
        if (known !is LedgerEntry.Tombstone || known.movedTo != null) return known
        val moved = known.copy(movedTo = target)
        entries[attempt] = moved
        return moved
    }

    /** Appends one part of the answer of [attempt] and returns its number; [last] ends the attempt. */
    fun append(attempt: AttemptId, payload: Payload, last: Boolean, now: Instant): Int {
        val known = entries[attempt]
        check(known is LedgerEntry.Accepted) { "attempt $attempt is not running" }
        val frames = known.frames + payload
        if (last) {
            end(attempt, LedgerEntry.Finished(known.fingerprint, frames), now)
        } else {
            entries[attempt] = known.copy(frames = frames)
        }
        return frames.size - 1
    }

    /** Records that the endpoint failed [attempt] after it was given to it. */
    fun fail(attempt: AttemptId, detail: String, now: Instant) {
        end(attempt, LedgerEntry.Failed(detail), now)
    }

    /** Forgets attempts that ended longer ago than the retention allows. */
    fun forgetOld(now: Instant) {
        val oldest = ended.entries.iterator()
        while (oldest.hasNext()) {
            val (attempt, endedAt) = oldest.next()
            val expired = now - endedAt >= limits.retention
            if (!expired && ended.size <= limits.maximumEnded) return
            oldest.remove()
            entries.remove(attempt)
        }
    }

    private fun end(attempt: AttemptId, entry: LedgerEntry, now: Instant): LedgerEntry {
        entries[attempt] = entry
        ended[attempt] = now
        return entry
    }
}
