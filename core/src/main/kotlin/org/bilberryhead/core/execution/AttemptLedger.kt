package org.bilberryhead.core.execution

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.message.AttemptOutcome
import org.bilberryhead.core.message.OutcomeReport
import org.bilberryhead.core.message.RefusalReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Default of [LedgerLimits.maximumBytes]: 16 MiB. */
private const val DEFAULT_MAXIMUM_BYTES = 16_777_216L

/** What a sidecar's ledger records about an attempt. */
sealed interface LedgerEntry {
    /** The work that the attempt id stands for; null when only a cancel message for the id has arrived. */
    val fingerprint: AttemptFingerprint?

    /** Returns whether this entry may be reported to a request with the fingerprint [other]. */
    fun matches(other: AttemptFingerprint): Boolean = fingerprint == null || fingerprint == other

    /** The attempt did not run and never will. The first recorded move sets [movedTo]; later ones don't change it. */
    data class Tombstone(
        val reason: RefusalReason,
        val movedTo: AttemptLocation? = null,
        override val fingerprint: AttemptFingerprint? = null,
    ) : LedgerEntry

    /** The attempt is queued or running. [frames] grows while the endpoint responds. */
    data class Accepted(override val fingerprint: AttemptFingerprint, val frames: List<Payload>) : LedgerEntry

    /** The endpoint sent its complete response. */
    data class Finished(override val fingerprint: AttemptFingerprint, val frames: List<Payload>) : LedgerEntry

    /** The attempt failed after it was given to the endpoint, so it may have taken effect. */
    data class Failed(val detail: String, override val fingerprint: AttemptFingerprint? = null) : LedgerEntry
}

/**
 * Identifies the work that an attempt id stands for, so that reuse of the id for different work is detected.
 *
 * @property request digest of the caller's request, see [RequestFingerprint]
 */
data class AttemptFingerprint(val clientAccount: ClientAccount, val request: String)

/**
 * Limits of an [AttemptLedger].
 *
 * @property retention how long an ended attempt is remembered
 * @property maximumEnded number of ended attempts beyond which the oldest are forgotten early
 * @property maximumBytes size of the responses to ended attempts beyond which the oldest are forgotten early, in bytes
 * @property maximumOrigins number of request id origins for which forgotten attempts can be distinguished from new ones
 */
data class LedgerLimits(
    val retention: Duration = 10.minutes,
    val maximumEnded: Int = 20_000,
    val maximumBytes: Long = DEFAULT_MAXIMUM_BYTES,
    val maximumOrigins: Int = 100_000,
)

/**
 * Remembers the attempts that one sidecar process has seen. An attempt id is accepted at most once. The caller adds a
 * tombstone for an id that is queried before its dispatch arrives, so that a late dispatch cannot run. Ended attempts
 * are forgotten when they exceed the retention or the limits; [ForgottenAttempts] then makes sure that their ids are
 * not accepted again.
 *
 * Not thread-safe.
 */
class AttemptLedger(private val limits: LedgerLimits = LedgerLimits()) {
    private val entries = HashMap<AttemptId, LedgerEntry>()
    private val framesInProgress = HashMap<AttemptId, MutableList<Payload>>()
    private val ended = LinkedHashMap<AttemptId, EndedAttempt>()
    private val forgotten = ForgottenAttempts(limits.maximumOrigins)

    /** Number of attempts remembered. */
    val size: Int get() = entries.size

    /** Size of the remembered responses to ended attempts, in bytes. */
    var endedBytes: Long = 0
        private set

    /** Returns the entry for [attempt], or null when the attempt was never seen or is forgotten. */
    operator fun get(attempt: AttemptId): LedgerEntry? = entries[attempt]

    /** Returns whether [attempt] may have been recorded here earlier and is no longer remembered. */
    fun isForgotten(attempt: AttemptId): Boolean = attempt !in entries && forgotten.mayContain(attempt)

    /** Returns the outcome of [attempt] without recording anything. */
    fun outcomeOf(attempt: AttemptId): OutcomeReport = when (val known = entries[attempt]) {
        null -> {
            val outcome = if (isForgotten(attempt)) AttemptOutcome.FORGOTTEN else AttemptOutcome.NEVER_SEEN
            OutcomeReport(attempt, outcome)
        }
        is LedgerEntry.Tombstone -> OutcomeReport(attempt, AttemptOutcome.NOT_RUN, known.movedTo)
        is LedgerEntry.Accepted -> OutcomeReport(attempt, AttemptOutcome.RUNNING)
        is LedgerEntry.Finished -> OutcomeReport(attempt, AttemptOutcome.ANSWERED)
        is LedgerEntry.Failed -> OutcomeReport(attempt, AttemptOutcome.FAILED)
    }

    /**
     * Records that [attempt] is accepted.
     *
     * @throws IllegalStateException if the attempt was or may have been recorded before
     */
    fun accept(attempt: AttemptId, fingerprint: AttemptFingerprint) {
        check(attempt !in entries) { "attempt $attempt is already in the ledger" }
        check(!isForgotten(attempt)) { "attempt $attempt may have been recorded earlier and forgotten" }
        val frames = mutableListOf<Payload>()
        framesInProgress[attempt] = frames
        entries[attempt] = LedgerEntry.Accepted(fingerprint, frames)
    }

    /**
     * Records that [attempt] never runs, and returns the entry that is then in the ledger. An ended attempt, or one
     * whose endpoint has started to respond, keeps its entry.
     */
    fun addTombstone(
        attempt: AttemptId,
        reason: RefusalReason,
        now: Instant,
        fingerprint: AttemptFingerprint? = null,
    ): LedgerEntry {
        val known = entries[attempt]
        val mayReplace = known == null || (known is LedgerEntry.Accepted && known.frames.isEmpty())
        if (!mayReplace) return checkNotNull(known)
        return end(attempt, LedgerEntry.Tombstone(reason, fingerprint = known?.fingerprint ?: fingerprint), now)
    }

    /**
     * Records [target] as the new location of the refused [attempt], unless a move is already recorded. Returns the
     * entry that is then in the ledger, or null when there is none.
     */
    fun recordMove(attempt: AttemptId, target: AttemptLocation): LedgerEntry? {
        val known = entries[attempt]
        if (known !is LedgerEntry.Tombstone || known.movedTo != null) return known
        val moved = known.copy(movedTo = target)
        entries[attempt] = moved
        return moved
    }

    /** Appends one part of the response to [attempt] and returns its number, from 0; [last] ends the attempt. */
    fun append(attempt: AttemptId, payload: Payload, last: Boolean, now: Instant): Int {
        val known = entries[attempt]
        check(known is LedgerEntry.Accepted) { "attempt $attempt is not in progress" }
        val frames = framesInProgress.getValue(attempt)
        frames += payload
        if (last) end(attempt, LedgerEntry.Finished(known.fingerprint, frames), now)
        return frames.lastIndex
    }

    /** Records that [attempt] failed after it was given to the endpoint. */
    fun fail(attempt: AttemptId, detail: String, now: Instant) {
        end(attempt, LedgerEntry.Failed(detail, entries[attempt]?.fingerprint), now)
    }

    /** Forgets attempts that ended longer ago than the retention allows. */
    fun forgetExpired(now: Instant) {
        while (true) {
            val oldest = ended.entries.firstOrNull() ?: return
            if (now - oldest.value.endedAt < limits.retention) return
            forget(oldest.key)
        }
    }

    private fun end(attempt: AttemptId, entry: LedgerEntry, now: Instant): LedgerEntry {
        framesInProgress.remove(attempt)
        entries[attempt] = entry
        val bytes = if (entry is LedgerEntry.Finished) entry.frames.sumOf { it.size.toLong() } else 0L
        ended[attempt] = EndedAttempt(now, bytes)
        endedBytes += bytes
        forgetExcess()
        return entry
    }

    /** Keeps the attempt that ended last, whatever its size, because its response is still to be sent. */
    private fun forgetExcess() {
        while (ended.size > 1 && (ended.size > limits.maximumEnded || endedBytes > limits.maximumBytes)) {
            forget(ended.keys.first())
        }
    }

    private fun forget(attempt: AttemptId) {
        val removed = ended.remove(attempt) ?: return
        endedBytes -= removed.bytes
        entries.remove(attempt)
        forgotten.add(attempt)
    }

    private data class EndedAttempt(val endedAt: Instant, val bytes: Long)
}
