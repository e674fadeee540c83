package org.bilberryhead.core.pipeline

import org.bilberryhead.core.message.RefusalReason
import org.bilberryhead.core.retry.RetryBudget
import org.bilberryhead.core.tables.Stage

/**
 * Decides whether one request may retry a stage after an attempt that did not run. A refusal costs the endpoint no
 * work, so the first retries of a stage are free. A retry of an idempotent stage after an overload refusal is charged
 * to the shared retry budget, because the caller can safely repeat the request later. Retries of attempts
 * that may have run are always charged to the budget; they don't pass through this class.
 */
internal class RetryAllowance(private val budget: RetryBudget, private val maximumFreeRetries: Int) {
    private var freeRetriesUsed = 0

    /** Resets the number of free retries for a new stage. */
    fun reset() {
        freeRetriesUsed = 0
    }

    /**
     * Returns whether [stage] may be retried after [refusal], and counts the retry if so. A null [refusal] stands for a
     * dispatch that was never written.
     */
    fun tryAcquire(stage: Stage, refusal: RefusalReason?): Boolean {
        val isFree = !stage.idempotent || refusal !in OVERLOAD_REFUSALS
        if (!isFree || freeRetriesUsed >= maximumFreeRetries) return budget.tryTake()
        freeRetriesUsed++
        return true
    }

    private companion object {
        /** Refusals caused by overload. */
        val OVERLOAD_REFUSALS =
            setOf(RefusalReason.QUEUE_FULL, RefusalReason.ACCOUNT_OVER_SHARE, RefusalReason.DEADLINE_UNREACHABLE)
    }
}
