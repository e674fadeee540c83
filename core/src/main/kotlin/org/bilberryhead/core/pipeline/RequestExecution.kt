package org.bilberryhead.core.pipeline

import org.bilberryhead.core.admission.Admission
import org.bilberryhead.core.admission.AdmissionControl
import org.bilberryhead.core.admission.DeadlineSplitter
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.execution.AttemptAction
import org.bilberryhead.core.execution.AttemptEvent
import org.bilberryhead.core.execution.AttemptState
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Cancel
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Failed
import org.bilberryhead.core.message.Forgotten
import org.bilberryhead.core.message.Frame
import org.bilberryhead.core.message.Move
import org.bilberryhead.core.message.Query
import org.bilberryhead.core.message.Refused
import org.bilberryhead.core.message.Running
import org.bilberryhead.core.retry.HedgePolicy
import org.bilberryhead.core.retry.RetryBudget
import org.bilberryhead.core.routing.AttemptResult
import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.routing.Selection
import org.bilberryhead.core.routing.SelectionRequest
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Stage
import org.bilberryhead.core.tables.Tables
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * A request that an entry has admitted.
 *
 * @property deadline when the answer is of no more use
 * @property ticket where a non-idempotent request with a key runs; null without a key
 */
data class AdmittedRequest(
    val id: RequestId,
    val clientAccount: ClientAccount,
    val payload: Payload,
    val deadline: Instant,
    val ticket: AttemptLocation? = null,
)

/**
 * Timings of a [RequestExecution].
 *
 * @property cancelMargin how long before the deadline open attempts are cancelled, so that an answer can still tell
 *   whether they ran
 * @property askInterval how often an unanswered query is repeated
 */
data class ExecutionTimings(
    val cancelMargin: Duration = 100.milliseconds,
    val askInterval: Duration = 200.milliseconds,
)

/**
 * Carries one request through the stages of its pipeline: chooses endpoints, retries what provably did not run, asks
 * what became of attempts whose connection was lost, and ends with one truthful outcome.
 *
 * Pure: events in, actions out. Not safe for use by several threads.
 */
@Suppress("TooManyFunctions") // one short function for each event and action of the attempt chart
class RequestExecution(
    private val request: AdmittedRequest,
    private val route: Route,
    private val tables: Tables,
    private val selector: EndpointSelector,
    private val budget: RetryBudget,
    private val timings: ExecutionTimings = ExecutionTimings(),
    private val admission: AdmissionControl = AdmissionControl.Open,
) {
    private val attempts = LinkedHashMap<AttemptId, AttemptRecord>()
    private val actions = mutableListOf<RequestAction>()
    private var stageIndex = 0
    private var input = request.payload
    private var attemptCount = 0
    private var leader: AttemptId? = null
    private var lastFailure: FailureReason? = null
    private var lastRetryAfter: Duration? = null
    private var isComplete = false

    private val stage: Stage get() = route.stages[stageIndex]
    private val isLastStage: Boolean get() = stageIndex == route.stages.lastIndex

    /** Handles [event], which happened at [now], and returns what to do about it. */
    fun handle(event: RequestEvent, now: Instant): List<RequestAction> {
        if (isComplete) return emptyList()
        actions.clear()
        when (event) {
            RequestEvent.Started -> start(now)
            is RequestEvent.MessageArrived -> takeMessage(event.message, now)
            is RequestEvent.NotWritten -> step(event.attempt, notWrittenEvent(), now)
            is RequestEvent.ConnectionLost -> step(event.attempt, AttemptEvent.CONNECTION_LOST, now)
            is RequestEvent.ConnectionRestored -> step(event.attempt, AttemptEvent.CONNECTION_RESTORED, now)
            is RequestEvent.IncarnationGone -> step(event.attempt, AttemptEvent.FORGOTTEN, now)
            is RequestEvent.TimerFired -> takeTimer(event.timer, now)
            RequestEvent.CallerGone -> end(FailureReason.CALLER_GONE, null, now)
        }
        return actions.toList()
    }

    private fun start(now: Instant) {
        actions += RequestAction.SetTimer(RequestTimer.CANCEL_BEFORE_DEADLINE, request.deadline - timings.cancelMargin)
        actions += RequestAction.SetTimer(RequestTimer.DEADLINE, request.deadline)
        startStage(now)
    }

    private fun startStage(now: Instant) {
        if (stageIndex == 0 && !isAdmitted(now)) return
        budget.recordFirstAttempt()
        val ticket = request.ticket
        if (ticket != null && !stage.idempotent) {
            dispatch(ticket, "ticket", candidates = 1, now)
            return
        }
        dispatchToChosen(now)
        if (stage.hedged && stage.idempotent) {
            val delay = HedgePolicy.delay(selector.stageTimes(stage.pool), route.objective, request.deadline - now)
            actions += RequestAction.SetTimer(RequestTimer.HEDGE, now + delay)
        }
    }

    private fun isAdmitted(now: Instant): Boolean {
        val remaining = request.deadline - now
        return when (val admitted = admission.check(request.clientAccount, route, tables, remaining, now)) {
            Admission.Admitted -> true
            is Admission.Refused -> {
                end(FailureReason.DEADLINE_UNREACHABLE, admitted.retryAfter, now)
                false
            }
        }
    }

    private fun stageLimit(now: Instant): Duration =
        DeadlineSplitter.limit(route.stages.drop(stageIndex), request.deadline - now, selector)

    private fun dispatchToChosen(now: Instant) {
        val target = chooseTarget(now) ?: return
        dispatch(target.location, target.why, target.candidates, now)
    }

    private fun chooseTarget(now: Instant): Target? {
        val pool = tables.poolOf(stage)
        if (pool == null) {
            endUnlessOpen(FailureReason.CONFIGURATION_MISSING, null, now)
            return null
        }
        val attempt = AttemptId("${request.id.value}:$stageIndex:${attemptCount++}")
        val selection = selector.choose(selectionRequest(pool, now), now)
        return when (selection) {
            is Selection.Chosen -> {
                val candidate = selection.candidate
                Target(
                    AttemptLocation(candidate.endpoint, candidate.incarnation, attempt),
                    selection.why,
                    selection.candidates,
                )
            }
            is Selection.NoneAvailable -> {
                actions +=
                    RequestAction.Log(
                        RoutingDecision(attempt, stage.name.value, selection.candidates, null, selection.why),
                    )
                endUnlessOpen(lastFailure ?: FailureReason.NO_ENDPOINT, selection.retryAfter, now)
                null
            }
        }
    }

    private fun selectionRequest(pool: Pool, now: Instant) = SelectionRequest(
        request = request.id,
        pool = pool,
        remaining = stageLimit(now),
        objective = route.objective,
        avoid = attempts.values.filter { it.stageIndex == stageIndex }.map { it.location.endpoint }.toSet(),
        mayProbe = stage.idempotent,
        mayRefuse = stageIndex == 0,
    )

    private fun dispatch(location: AttemptLocation, why: String, candidates: Int, now: Instant) {
        attempts[location.attempt] = AttemptRecord(location, stageIndex, now)
        selector.recordDispatch(location.endpoint, now)
        val message = Dispatch(
            attempt = location.attempt,
            incarnation = location.incarnation,
            request = request.id,
            kind = route.kind,
            stage = stage.name,
            clientAccount = request.clientAccount,
            remainingMillis = stageLimit(now).inWholeMilliseconds,
            idempotent = stage.idempotent,
            payload = input,
            streamed = route.streamed && isLastStage,
        )
        actions +=
            RequestAction.Log(RoutingDecision(location.attempt, stage.name.value, candidates, location.endpoint, why))
        actions += RequestAction.Send(location.endpoint, location.incarnation, message)
    }

    private fun takeMessage(message: AttemptMessage, now: Instant) {
        val record = attempts[message.attempt] ?: return
        when (message) {
            is Frame -> takeFrame(record, message, now)
            is Refused -> takeRefusal(record, message, now)
            is Failed -> step(message.attempt, AttemptEvent.FAILED, now)
            is Running -> step(message.attempt, AttemptEvent.RUNNING, now)
            is Forgotten -> step(message.attempt, AttemptEvent.FORGOTTEN, now)
            is Dispatch, is Query, is Cancel, is Move -> Unit
        }
    }

    private fun takeFrame(record: AttemptRecord, frame: Frame, now: Instant) {
        if (!record.isOpen) return
        val ready = record.frames.add(frame)
        if (isStreaming() && ready.isNotEmpty()) deliver(record, ready, now)
        val event = if (record.frames.isComplete) AttemptEvent.LAST_FRAME else AttemptEvent.FRAME
        step(record.location.attempt, event, now)
    }

    private fun isStreaming() = route.streamed && isLastStage

    private fun deliver(record: AttemptRecord, ready: List<Payload>, now: Instant) {
        if (leader == null) {
            leader = record.location.attempt
            abandonOthers(record.location.attempt, now)
        }
        ready.forEach { actions += RequestAction.Deliver(it) }
    }

    private fun takeRefusal(record: AttemptRecord, refusal: Refused, now: Instant) {
        lastFailure = FailureReason.of(refusal.reason)
        lastRetryAfter = refusal.retryAfterMillis?.milliseconds
        val movedTo = refusal.movedTo
        if (movedTo != null && record.isOpen) {
            record.step(AttemptEvent.REFUSED)
            recordEnd(record, AttemptResult.REFUSED, now)
            dispatch(movedTo, "ticket moved", candidates = 1, now)
            return
        }
        step(refusal.attempt, AttemptEvent.REFUSED, now)
    }

    /** With a ticket another entry may have sent the same attempt, so that an unwritten dispatch proves nothing. */
    private fun notWrittenEvent(): AttemptEvent =
        if (request.ticket != null && !stage.idempotent) AttemptEvent.CONNECTION_LOST else AttemptEvent.NOT_WRITTEN

    private fun step(attempt: AttemptId, event: AttemptEvent, now: Instant) {
        val record = attempts[attempt] ?: return
        if (!record.isOpen) return
        val action = record.step(event)
        if (!record.isOpen) recordEnd(record, resultOf(record.state), now)
        when (action) {
            AttemptAction.RETRY -> retry(record, now)
            AttemptAction.RETRY_IF_IDEMPOTENT -> retryIfIdempotent(record, event, now)
            AttemptAction.COMPLETE_STAGE -> completeStage(record, now)
            AttemptAction.ASK -> ask(record, now)
            AttemptAction.CANCEL -> send(record, Cancel(attempt))
            AttemptAction.TAKE_FRAME, null -> Unit
        }
    }

    private fun retry(record: AttemptRecord, now: Instant) {
        if (hasOpenAttempt()) return
        if (!budget.tryTake()) {
            end(lastFailure ?: FailureReason.RETRIES_EXHAUSTED, lastRetryAfter, now)
            return
        }
        if (request.ticket != null && !stage.idempotent) {
            moveTicket(record, now)
        } else {
            dispatchToChosen(now)
        }
    }

    private fun moveTicket(record: AttemptRecord, now: Instant) {
        val target = chooseTarget(now) ?: return
        send(record, Move(record.location.attempt, target.location))
        attempts[record.location.attempt] = AttemptRecord(record.location, stageIndex, now)
    }

    private fun retryIfIdempotent(record: AttemptRecord, event: AttemptEvent, now: Instant) {
        lastFailure = if (event == AttemptEvent.FORGOTTEN) FailureReason.SIDECAR_GONE else FailureReason.ENDPOINT_FAILED
        when {
            record.location.attempt == leader -> end(FailureReason.ANSWER_INCOMPLETE, null, now)
            stage.idempotent -> retry(record, now)
            else -> end(lastFailure ?: FailureReason.ENDPOINT_FAILED, null, now)
        }
    }

    private fun completeStage(record: AttemptRecord, now: Instant) {
        abandonOthers(record.location.attempt, now)
        val answer = record.frames.wholeAnswer()
        if (isLastStage) {
            admission.recordAnswered(route, now)
            complete(RequestOutcome.Answered(if (route.streamed) Payload.EMPTY else answer))
            return
        }
        input = answer
        stageIndex++
        leader = null
        lastFailure = null
        startStage(now)
    }

    private fun ask(record: AttemptRecord, now: Instant) {
        send(record, Query(record.location.attempt, record.location.incarnation, record.frames.nextNumber))
        actions += RequestAction.SetTimer(RequestTimer.ASK_AGAIN, now + timings.askInterval)
        val mayStartAnother = stage.idempotent && record.location.attempt != leader && openAttempts().size == 1
        if (mayStartAnother && budget.tryTake()) dispatchToChosen(now)
    }

    private fun takeTimer(timer: RequestTimer, now: Instant) {
        when (timer) {
            RequestTimer.HEDGE -> hedge(now)
            RequestTimer.ASK_AGAIN -> askAgain(now)
            RequestTimer.CANCEL_BEFORE_DEADLINE -> openAttempts().forEach { send(it, Cancel(it.location.attempt)) }
            RequestTimer.DEADLINE -> end(FailureReason.DEADLINE_PASSED, null, now)
        }
    }

    private fun hedge(now: Instant) {
        val canHedge = stage.hedged && stage.idempotent && leader == null && openAttempts().size == 1
        if (canHedge && isHedgeWorthwhile(now) && budget.tryTakeHedge()) dispatchToChosen(now)
    }

    private fun isHedgeWorthwhile(now: Instant): Boolean {
        val predicted = tables.poolOf(stage)?.let { selector.predict(it, now) }
        return HedgePolicy.isWorthwhile(predicted, selector.stageTimes(stage.pool))
    }

    private fun askAgain(now: Instant) {
        val asking = openAttempts().filter { it.state == AttemptState.ASKING }
        asking.forEach { send(it, Query(it.location.attempt, it.location.incarnation, it.frames.nextNumber)) }
        if (asking.isNotEmpty()) actions += RequestAction.SetTimer(RequestTimer.ASK_AGAIN, now + timings.askInterval)
    }

    private fun abandonOthers(winner: AttemptId, now: Instant) {
        val losers = openAttempts().map { it.location.attempt }.filter { it != winner }
        losers.forEach { step(it, AttemptEvent.ABANDON, now) }
    }

    private fun endUnlessOpen(reason: FailureReason, retryAfter: Duration?, now: Instant) {
        if (!hasOpenAttempt()) end(reason, retryAfter, now)
    }

    private fun end(reason: FailureReason, retryAfter: Duration?, now: Instant) {
        val mayHaveRun = attempts.values.any { it.mayHaveRun }
        openAttempts().forEach { step(it.location.attempt, AttemptEvent.ABANDON, now) }
        complete(
            if (mayHaveRun) {
                RequestOutcome.Unknown(reason, route.idempotent, retryAfter)
            } else {
                RequestOutcome.NotRun(reason, retryAfter)
            },
        )
    }

    private fun complete(outcome: RequestOutcome) {
        isComplete = true
        actions += RequestAction.Complete(outcome)
    }

    private fun send(record: AttemptRecord, message: AttemptMessage) {
        actions += RequestAction.Send(record.location.endpoint, record.location.incarnation, message)
    }

    private fun recordEnd(record: AttemptRecord, result: AttemptResult, now: Instant) =
        selector.recordEnd(record.location.endpoint, result, now - record.sentAt, now)

    private fun resultOf(state: AttemptState): AttemptResult = when (state) {
        AttemptState.FINISHED -> AttemptResult.ANSWERED
        AttemptState.NOT_RUN -> AttemptResult.REFUSED
        AttemptState.ABANDONED -> AttemptResult.ABANDONED
        AttemptState.UNKNOWN, AttemptState.SENT, AttemptState.RECEIVING, AttemptState.ASKING -> AttemptResult.FAILED
    }

    private fun openAttempts(): List<AttemptRecord> = attempts.values.filter {
        it.isOpen && it.stageIndex == stageIndex
    }

    private fun hasOpenAttempt(): Boolean = openAttempts().isNotEmpty()

    private data class Target(val location: AttemptLocation, val why: String, val candidates: Int)
}
