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
private const val MAXIMUM_ANSWER_BYTES = 16_777_216L

/** What a sidecar's ledger holds of an attempt. */
sealed interface LedgerEntry {
    /** The work behind the attempt id; null when only a question about the id arrived. */
    val fingerprint: AttemptFingerprint?

    /** Returns whether the entry may be told to a request with the fingerprint [other]. */
    fun matches(other: AttemptFingerprint): Boolean = fingerprint == null || fingerprint == other

    /** The attempt did not run and never will. [movedTo] is set once, by the first recorded move. */
    data class Tombstone(
        val reason: RefusalReason,
        val movedTo: AttemptLocation? = null,
        override val fingerprint: AttemptFingerprint? = null,
    ) : LedgerEntry

    /** The attempt is accepted: it waits in the queue or runs. [frames] grows while the endpoint answers. */
    data class Accepted(override val fingerprint: AttemptFingerprint, val frames: List<Payload>) : LedgerEntry

    /** The endpoint answered completely. */
    data class Finished(override val fingerprint: AttemptFingerprint, val frames: List<Payload>) : LedgerEntry

    /** The endpoint was given the attempt and failed; it may have taken effect. */
    data class Failed(val detail: String, override val fingerprint: AttemptFingerprint? = null) : LedgerEntry
}

/**
 * Identifies the work behind an attempt id, so that an id that is used for other work is noticed.
 *
 * @property request digest of the caller's own request, see [RequestFingerprint]
 */
data class AttemptFingerprint(val clientAccount: ClientAccount, val request: String)

/**
 * Limits of an [AttemptLedger].
 *
 * @property retention how long an attempt that has ended is remembered
 * @property maximumEnded number of ended attempts beyond which the oldest are forgotten early
 * @property maximumBytes size of the answers of ended attempts beyond which the oldest are forgotten early, in bytes
 * @property maximumOrigins number of request id origins whose forgotten attempts can be told from new ones
 */
data class LedgerLimits(
    val retention: Duration = 10.minutes,
    val maximumEnded: Int = 20_000,
    val maximumBytes: Long = MAXIMUM_ANSWER_BYTES,
    val maximumOrigins: Int = 100_000,
)

/**
 * Remembers every attempt that one sidecar run has seen. An attempt id is admitted once; a query for an id that was
 * never seen leaves a tombstone, so that a late copy of its dispatch can not run. An attempt that is forgotten, for its
 * age or to keep the limits, leaves a trace in [ForgottenAttempts] and is never admitted again.
 *
 * Not safe for use by several threads.
 */
class AttemptLedger(private val limits: LedgerLimits = LedgerLimits()) {
    private val entries = HashMap<AttemptId, LedgerEntry>()
    private val answers = HashMap<AttemptId, MutableList<Payload>>()
    private val ended = LinkedHashMap<AttemptId, EndedAttempt>()
    private val forgotten = ForgottenAttempts(limits.maximumOrigins)

    /** Number of attempts remembered. */
    val size: Int get() = entries.size

    /** Size of the remembered answers of ended attempts, in bytes. */
    var endedBytes: Long = 0
        private set

    /** Returns what is known of [attempt], or null when it was never seen or is forgotten. */
    operator fun get(attempt: AttemptId): LedgerEntry? = entries[attempt]

    /** Returns whether [attempt] may have been here and is no longer remembered. */
    fun isForgotten(attempt: AttemptId): Boolean = attempt !in entries && forgotten.mayContain(attempt)

    /** Returns what is known of [attempt] for a caller that asks; nothing changes by it. */
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

    /** Records that [attempt] is accepted. */
    fun accept(attempt: AttemptId, fingerprint: AttemptFingerprint) {
        check(attempt !in entries) { "attempt $attempt is in the ledger" }
        check(!isForgotten(attempt)) { "attempt $attempt may have been in the ledger" }
        val frames = mutableListOf<Payload>()
        answers[attempt] = frames
        entries[attempt] = LedgerEntry.Accepted(fingerprint, frames)
    }

    /** Records that [attempt] never runs, and returns what stands. An attempt with a part of an answer stays. */
    fun bury(
        attempt: AttemptId,
        reason: RefusalReason,
        now: Instant,
        fingerprint: AttemptFingerprint? = null,
    ): LedgerEntry {
        val known = entries[attempt]
        val mayBury = known == null || (known is LedgerEntry.Accepted && known.frames.isEmpty())
        if (!mayBury) return checkNotNull(known)
        return end(attempt, LedgerEntry.Tombstone(reason, fingerprint = known?.fingerprint ?: fingerprint), now)
    }

    /** Records where the refused [attempt] is moved, unless a move is recorded; returns the entry that stands. */
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
        val frames = answers.getValue(attempt)
        frames += payload
        if (last) end(attempt, LedgerEntry.Finished(known.fingerprint, frames), now)
        return frames.lastIndex
    }

    /** Records that the endpoint failed [attempt] after it was given to it. */
    fun fail(attempt: AttemptId, detail: String, now: Instant) {
        end(attempt, LedgerEntry.Failed(detail, entries[attempt]?.fingerprint), now)
    }

    /** Forgets attempts that ended longer ago than the retention allows. */
    fun forgetOld(now: Instant) {
        while (true) {
            val oldest = ended.entries.firstOrNull() ?: return
            if (now - oldest.value.at < limits.retention) return
            forget(oldest.key)
        }
    }

    private fun end(attempt: AttemptId, entry: LedgerEntry, now: Instant): LedgerEntry {
        answers.remove(attempt)
        entries[attempt] = entry
        val bytes = if (entry is LedgerEntry.Finished) entry.frames.sumOf { it.size.toLong() } else 0L
        ended[attempt] = EndedAttempt(now, bytes)
        endedBytes += bytes
        forgetExcess()
        return entry
    }

    /** The attempt that ended last stays, however large, since its answer is about to be sent. */
    private fun forgetExcess() {
        while (ended.size > 1 && (ended.size > limits.maximumEnded || endedBytes > limits.maximumBytes)) {
            forget(ended.keys.first())
        }
    }

    private fun forget(attempt: AttemptId) {
        val gone = ended.remove(attempt) ?: return
        endedBytes -= gone.bytes
        entries.remove(attempt)
        forgotten.add(attempt)
    }

    private data class EndedAttempt(val at: Instant, val bytes: Long)
}
