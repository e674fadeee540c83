package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.AttemptHistory
import org.bilberryhead.core.serving.AttemptOutcome
import org.bilberryhead.core.serving.AttemptRule
import org.bilberryhead.core.serving.NextStep

/** Counts the attempts of [request] and decides whether another one may follow. */
internal class RequestRetries(private val request: AdmittedRequest, private val context: ServingContext) {
    private var unreachableCount = 0

    /** Number of endpoints that the request was sent to. */
    var attemptCount = 0
        private set

    /** Whether an attempt that has ended may have run the request. */
    var mayHaveRun = false
        private set

    /** Counts an attempt that is sent now. */
    fun recordSent() {
        attemptCount++
    }

    /** Takes back [recordSent], because no byte was sent. */
    fun recordNotSent() {
        attemptCount--
    }

    /** Records that an attempt has ended after which the request may have run. */
    fun recordMayHaveRun() {
        mayHaveRun = true
    }

    /** Returns whether another endpoint may be tried now; takes no retry from the retry budget. */
    fun isAvailable(): Boolean = hasAttemptLeft() && context.retryBudget.hasRetry(request.pool, context.thread.now())

    /** Returns whether another endpoint may be tried, and if so takes a retry from the retry budget. */
    fun take(): Boolean = hasAttemptLeft() && takeFromBudget()

    private fun hasAttemptLeft(): Boolean = attemptCount < request.route.maximumAttempts

    /** Records that an attempt has ended with [outcome], and returns the next step. */
    fun next(outcome: AttemptOutcome): NextStep {
        val route = request.route
        val history = AttemptHistory(attemptCount, mayHaveRun)
        val nextStep = AttemptRule.next(route.repeatRule, outcome, history, route.maximumAttempts) {
            takeAfter(outcome)
        }
        mayHaveRun = mayHaveRun || (outcome != AttemptOutcome.NotSent && outcome != AttemptOutcome.NotRun)
        return nextStep
    }

    /** A retry after an attempt that did not reach its endpoint is not counted in the budget. */
    private fun takeAfter(outcome: AttemptOutcome): Boolean {
        if (outcome != AttemptOutcome.NotSent) return takeFromBudget()
        unreachableCount++
        return unreachableCount <= MAXIMUM_UNREACHABLE_ATTEMPTS
    }

    private fun takeFromBudget(): Boolean = context.retryBudget.tryRetry(request.pool, context.thread.now())

    private companion object {
        const val MAXIMUM_UNREACHABLE_ATTEMPTS = 4
    }
}
