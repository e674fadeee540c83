package org.bilberryhead.core.testing.model

import org.bilberryhead.core.pipeline.RequestOutcome

/** Invariants that every session must keep. */
internal enum class Invariant {
    /** Every request is answered when the injected faults leave time to recover, and each answer has its effects. */
    NOTHING_LOST,

    /** No non-idempotent stage takes effect twice for one order. */
    NOTHING_DOUBLED,

    /** No caller receives the response to another order. */
    NOTHING_SWAPPED,

    /** Each response is complete and correct. */
    WHOLE_ANSWER,

    /** A request that is reported as not run had no effect. */
    NOT_RUN_IS_TRUE,

    /** A sidecar runs no attempt that it received after the request to leave. */
    NO_WORK_AFTER_LEAVING,

    /** A graceful shutdown of a sidecar alone leaves no request unanswered. */
    SHUTDOWN_CUTS_NOTHING,

    /** Each caller gets an outcome by the deadline, unless an entry was frozen. */
    TOLD_BY_DEADLINE,
}

/** An invariant that a session violated, with what was seen. */
internal data class Violation(val invariant: Invariant, val detail: String)

/** Checks a finished [session]: compares the effects at the endpoints with the outcomes that the callers received. */
internal class InvariantChecker(private val session: ModelSession) {
    private val violations = mutableListOf<Violation>()
    private val stages = session.scenario.route.stages

    fun check(): List<Violation> {
        session.violations.forEach { violations += Violation(Invariant.NO_WORK_AFTER_LEAVING, it) }
        session.orders.forEach { order ->
            checkEffects(order)
            order.submissions.forEach(::checkSubmission)
        }
        return violations
    }

    private fun checkSubmission(submission: Submission) {
        val name = submission.request.id.value
        when (val outcome = submission.outcome) {
            is RequestOutcome.Answered -> checkResponse(submission, outcome)
            is RequestOutcome.NotRun -> checkNotRun(submission)
            is RequestOutcome.Unknown, null -> Unit
        }
        if (!submission.order.expectedResponse.startsWith(submission.delivered)) {
            violations += Violation(Invariant.WHOLE_ANSWER, "$name received the parts '${submission.delivered}'")
        }
        val completedAt = submission.completedAt
        val isLate = completedAt == null || completedAt > submission.request.deadline
        if (isLate && !wasEntryFrozen()) {
            violations += Violation(Invariant.TOLD_BY_DEADLINE, "$name completed at $completedAt")
        }
        if (!submission.isAnswered && mustBeAnswered(submission)) {
            val isShutdown = session.injected.isNotEmpty() && session.injected.all { it.fault == Fault.LEAVE_SIDECAR }
            val invariant = if (isShutdown) Invariant.SHUTDOWN_CUTS_NOTHING else Invariant.NOTHING_LOST
            violations += Violation(invariant, "$name was not answered")
        }
    }

    private fun checkResponse(submission: Submission, outcome: RequestOutcome.Answered) {
        val order = submission.order
        val name = submission.request.id.value
        val response = submission.delivered.toString() + outcome.payload.text()
        val others = session.orders - order
        when {
            response == order.expectedResponse -> Unit
            others.any { response.startsWith(it.input) } ->
                violations += Violation(Invariant.NOTHING_SWAPPED, "$name got '$response'")
            else -> violations += Violation(Invariant.WHOLE_ANSWER, "$name got '$response'")
        }
        val missing = stages.filter { stage -> effectsOf(order).none { it.stage == stage.name.value } }
        missing.forEach { violations += Violation(Invariant.NOTHING_LOST, "$name has no effect of ${it.name}") }
    }

    /** Checks that [submission] had no effect, and its order none before it. Later submissions may have one. */
    private fun checkNotRun(submission: Submission) {
        val own = session.effects.count { it.request == submission.request.id }
        val requests = submission.order.submissions.map { it.request.id }.toSet()
        val earlier = session.effects.take(submission.effectCountBefore).count { it.request in requests }
        if (own + earlier == 0) return
        violations += Violation(Invariant.NOT_RUN_IS_TRUE, "${submission.request.id} had ${own + earlier} effects")
    }

    private fun checkEffects(order: Order) {
        val counts = effectsOf(order).filter { !it.idempotent }.groupingBy { it.stage }.eachCount()
        counts.filterValues { it > 1 }.forEach { (stage, count) ->
            violations += Violation(Invariant.NOTHING_DOUBLED, "${order.account} has $count effects of $stage")
        }
    }

    private fun effectsOf(order: Order): List<Effect> {
        val requests = order.submissions.map { it.request.id }.toSet()
        return session.effects.filter { it.request in requests }
    }

    /**
     * Returns whether the injected faults still allow [submission] to be answered. A probe follows faults that may have
     * made sidecars restart or leave, so it must be answered only if all faults were harmless.
     */
    private fun mustBeAnswered(submission: Submission): Boolean {
        val faults = session.injected.map { it.fault }
        val mayStayUnanswered = session.scenario == Scenario.FORGETFUL || session.scenario.isTicketShared
        if (mayStayUnanswered || wasRefusedBeforeDispatch(submission)) return false
        if (submission.isProbe) return faults.all { it in HARMLESS } && submission.order.submissions.first().isAnswered
        if (session.scenario.poolSize == 1) return faults.all { it in HARMLESS }
        val isRecoverable = faults.size == 1 && faults.single() in RECOVERABLE
        return isRecoverable || faults.all { it in HARMLESS || it == Fault.LEAVE_SIDECAR }
    }

    /** The only endpoint was unreachable when the request arrived, so that nothing was dispatched. */
    private fun wasRefusedBeforeDispatch(submission: Submission) = session.scenario.poolSize == 1 &&
        submission.outcome is RequestOutcome.NotRun &&
        submission.request.id !in session.dispatched

    private fun wasEntryFrozen() = session.injected.any { it.fault == Fault.FREEZE_ENTRY }

    private companion object {
        /** Faults that must not fail a request, however many are injected. */
        val HARMLESS = setOf(
            Fault.CUT_CONNECTION,
            Fault.DELAY_BOTH_WAYS,
            Fault.REORDER_MESSAGES,
            Fault.DUPLICATE_MESSAGES,
        )

        /** Faults that must not fail a request when injected alone, since its deadline leaves time to recover. */
        val RECOVERABLE = setOf(
            Fault.FREEZE_SIDECAR,
            Fault.SILENCE_TO_SIDECAR,
            Fault.SILENCE_TO_ENTRY,
            Fault.SILENCE_BOTH_WAYS,
            Fault.STALE_CONNECTION,
            Fault.ENDPOINT_REFUSES,
        )
    }
}
