package org.bilberryhead.core.testing.model

import org.bilberryhead.core.pipeline.RequestOutcome

/** What must hold in every session. */
internal enum class Promise {
    NOTHING_LOST,
    NOTHING_DOUBLED,
    NOTHING_SWAPPED,
    WHOLE_ANSWER,
    NOT_RUN_IS_TRUE,
    NO_WORK_AFTER_LEAVING,
    SHUTDOWN_CUTS_NOTHING,
    TOLD_BY_DEADLINE,
}

/** A promise that a session broke. */
internal data class Violation(val promise: Promise, val detail: String)

/** Compares the effects at the endpoints with what the callers of [session] were told. */
internal class Judge(private val session: ModelSession) {
    private val violations = mutableListOf<Violation>()
    private val stages = session.scenario.route.stages

    fun verdict(): List<Violation> {
        session.seen.forEach { violations += Violation(Promise.NO_WORK_AFTER_LEAVING, it) }
        session.orders.forEach { order ->
            judgeEffects(order)
            order.submissions.forEach(::judgeSubmission)
        }
        return violations
    }

    private fun judgeSubmission(submission: Submission) {
        val name = submission.request.id.value
        when (val outcome = submission.outcome) {
            is RequestOutcome.Answered -> judgeAnswer(submission, outcome)
            is RequestOutcome.NotRun -> judgeNotRun(submission)
            is RequestOutcome.Unknown, null -> Unit
        }
        if (!submission.order.expected.startsWith(submission.delivered)) {
            violations += Violation(Promise.WHOLE_ANSWER, "$name was sent '${submission.delivered}'")
        }
        val toldAt = submission.toldAt
        val isLate = toldAt == null || toldAt > submission.request.deadline
        if (isLate && !wasFrozen()) violations += Violation(Promise.TOLD_BY_DEADLINE, "$name was told at $toldAt")
        if (!submission.isAnswered && mustBeAnswered(submission)) {
            val isShutdown = session.struck.isNotEmpty() && session.struck.all { it.fault == Fault.LEAVE_SIDECAR }
            val promise = if (isShutdown) Promise.SHUTDOWN_CUTS_NOTHING else Promise.NOTHING_LOST
            violations += Violation(promise, "$name was not answered")
        }
    }

    private fun judgeAnswer(submission: Submission, outcome: RequestOutcome.Answered) {
        val order = submission.order
        val name = submission.request.id.value
        val answer = submission.delivered.toString() + outcome.payload.text()
        val others = session.orders - order
        when {
            answer == order.expected -> Unit
            others.any { answer.startsWith(it.input) } ->
                violations += Violation(Promise.NOTHING_SWAPPED, "$name got '$answer'")
            else -> violations += Violation(Promise.WHOLE_ANSWER, "$name got '$answer'")
        }
        val missing = stages.filter { stage -> effectsOf(order).none { it.stage == stage.name.value } }
        missing.forEach { violations += Violation(Promise.NOTHING_LOST, "$name has no effect of ${it.name}") }
    }

    /** Another submission of the same ticket may run; this one must not have, and none may have run before it. */
    private fun judgeNotRun(submission: Submission) {
        val own = session.effects.count { it.request == submission.request.id }
        val requests = submission.order.submissions.map { it.request.id }.toSet()
        val earlier = session.effects.take(submission.effectsBefore).count { it.request in requests }
        if (own + earlier == 0) return
        violations += Violation(Promise.NOT_RUN_IS_TRUE, "${submission.request.id} had ${own + earlier} effects")
    }

    private fun judgeEffects(order: Order) {
        val counts = effectsOf(order).filter { !it.idempotent }.groupingBy { it.stage }.eachCount()
        counts.filterValues { it > 1 }.forEach { (stage, count) ->
            violations += Violation(Promise.NOTHING_DOUBLED, "${order.account} has $count effects of $stage")
        }
    }

    private fun effectsOf(order: Order): List<Effect> {
        val requests = order.submissions.map { it.request.id }.toSet()
        return session.effects.filter { it.request in requests }
    }

    /** A probe asks again after sidecars may have gone, so it needs an answer only when none has. */
    private fun mustBeAnswered(submission: Submission): Boolean {
        val faults = session.struck.map { it.fault }
        val mayBeRefused = session.scenario == Scenario.FORGETFUL || session.scenario.isTicketShared
        if (mayBeRefused || wasRefusedAtOnce(submission)) return false
        if (submission.isProbe) return faults.all { it in HARMLESS } && submission.order.submissions.first().isAnswered
        if (session.scenario.poolSize == 1) return faults.all { it in HARMLESS }
        val isHealed = faults.size == 1 && faults.single() in HEALED
        return isHealed || faults.all { it in HARMLESS || it == Fault.LEAVE_SIDECAR }
    }

    /** The only endpoint was out of reach when the request came. */
    private fun wasRefusedAtOnce(submission: Submission) = session.scenario.poolSize == 1 &&
        submission.outcome is RequestOutcome.NotRun &&
        submission.request.id !in session.dispatched

    private fun wasFrozen() = session.struck.any { it.fault == Fault.FREEZE_ENTRY }

    private companion object {
        /** Faults that no request may fail for, however many strike. */
        val HARMLESS = setOf(
            Fault.CUT_CONNECTION,
            Fault.DELAY_BOTH_WAYS,
            Fault.REORDER_MESSAGES,
            Fault.DUPLICATE_MESSAGES,
        )

        /** Faults that no request may fail for when one strikes alone, since its deadline leaves time to recover. */
        val HEALED = setOf(
            Fault.FREEZE_SIDECAR,
            Fault.SILENCE_TO_SIDECAR,
            Fault.SILENCE_TO_ENTRY,
            Fault.SILENCE_BOTH_WAYS,
            Fault.STALE_CONNECTION,
            Fault.ENDPOINT_REFUSES,
        )
    }
}
