package org.bilberryhead.core.pipeline

import org.bilberryhead.core.message.RefusalReason
import org.bilberryhead.core.retry.RetryBudget
import org.bilberryhead.core.tables.Stage

/**
 * Decides whether one request may try a stage again. A refusal costs no endpoint any work, so a few retries after one
 * are free. Overload is the exception: an idempotent stage then pays from the shared budget, as its caller can come
 * back without risk. Retries after work was spent always pay.
 */
internal class RetryAllowance(private val budget: RetryBudget, private val maximumFree: Int) {
    private var freeUsed = 0

    /** Begins a new stage. */
    fun reset() {
        freeUsed = 0
    }

    /** Takes a retry of [stage] after [refusal], or after an unwritten dispatch when it is null. */
    fun takeUnrun(stage: Stage, refusal: RefusalReason?): Boolean {
        val isFree = !stage.idempotent || refusal !in OVERLOAD_REFUSALS
        if (!isFree || freeUsed >= maximumFree) return budget.tryTake()
        freeUsed++
        return true
    }

    private companion object {
        /** Refusals that tell of too much work. */
        val OVERLOAD_REFUSALS =
            setOf(RefusalReason.QUEUE_FULL, RefusalReason.ACCOUNT_OVER_SHARE, RefusalReason.DEADLINE_UNREACHABLE)
    }
}
