package org.bilberryhead.core.serving

import org.bilberryhead.core.common.PoolName
import kotlin.time.Instant

/** What happens to pieces whose coordinator has not delivered their outcomes. */
enum class ResubmissionDecision {
    /** They are submitted to the next coordinator. */
    RESUBMIT,

    /** They wait for the outcomes from their coordinator. */
    WAIT,

    /** They fail. */
    FAIL,
}

/**
 * Decides whether pieces for [pool] are submitted to the next coordinator after theirs fell silent or was lost.
 *
 * Designed for a coordinator that pauses and goes on: it may have sent the pieces to an endpoint already, so that
 * sending them again takes one retry for each from [budget]. While there is none, its own outcomes are the best that
 * can be had.
 */
class PieceResubmission(private val pool: PoolName, private val budget: SharedRetryBudget) {
    /**
     * Decides what happens to [pieces] pieces whose coordinator is silent but may go on.
     *
     * @param usefulUntil when their outcomes are no longer of use
     */
    fun afterSilence(pieces: Int, usefulUntil: Instant, now: Instant): ResubmissionDecision = when {
        now >= usefulUntil -> ResubmissionDecision.FAIL
        budget.tryRetry(pool, now, pieces) -> ResubmissionDecision.RESUBMIT
        else -> ResubmissionDecision.WAIT
    }

    /**
     * Decides what happens to [pieces] pieces whose coordinator will deliver no outcomes.
     *
     * @param mayHaveStarted whether the coordinator may have sent them to an endpoint
     */
    fun afterLoss(pieces: Int, mayHaveStarted: Boolean, now: Instant): ResubmissionDecision =
        if (!mayHaveStarted || budget.tryRetry(pool, now, pieces)) {
            ResubmissionDecision.RESUBMIT
        } else {
            ResubmissionDecision.FAIL
        }
}
