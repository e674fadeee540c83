package org.bilberryhead.core.pipeline

import org.bilberryhead.core.admission.Admission
import org.bilberryhead.core.admission.AdmissionControl
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.execution.ATTEMPT_SEPARATOR
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
import org.bilberryhead.core.message.RefusalReason
import org.bilberryhead.core.message.Refused
import org.bilberryhead.core.message.Running
import org.bilberryhead.core.retry.HedgePolicy
import org.bilberryhead.core.retry.RetryBudget
import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Stage
import org.bilberryhead.core.tables.Tables
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

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
    private val attempts = RequestAttempts(request, route)
    private val targets = TargetChooser(request, route, tables, selector, attempts)
    private val actions = mutableListOf<RequestAction>()
    private var stageIndex = 0
    private var input = request.payload
    private val messages = RequestMessages(request, route)
    private val retries = RetryAllowance(budget, timings.maximumFreeRetries)
    private val firstTicketStage = route.stages.indexOfFirst { !it.idempotent }
    private var moveCount = 0
    private var leader: AttemptId? = null
    private var lastFailure: FailureReason? = null
    private var lastRefusal: RefusalReason? = null
    private var lastRetryAfter: Duration? = null
    private var isKeyShared = false
    private var isClosing = false
    private var isComplete = false

    private val stage: Stage get() = route.stages[stageIndex]
    private val isLastStage: Boolean get() = stageIndex == route.stages.lastIndex
    private val isTicketed: Boolean get() = request.ticket != null && !stage.idempotent

    /** Handles [event], which happened at [now], and returns what to do about it. */
    fun handle(event: RequestEvent, now: Instant): List<RequestAction> {
        if (isComplete) return emptyList()
        actions.clear()
        when (event) {
            RequestEvent.Started -> start(now)
            is RequestEvent.MessageArrived -> takeMessage(event.message, now)
            is RequestEvent.NotWritten -> takeNotWritten(event.attempt, now)
            is RequestEvent.ConnectionLost -> step(event.attempt, AttemptEvent.CONNECTION_LOST, now)
            is RequestEvent.ConnectionRestored -> step(event.attempt, AttemptEvent.CONNECTION_RESTORED, now)
            is RequestEvent.IncarnationReplaced -> step(event.attempt, AttemptEvent.FORGOTTEN, now)
            is RequestEvent.AttemptIdConflict -> takeTaken(event.attempt, now)
            is RequestEvent.TimerFired -> takeTimer(event.timer, now)
            RequestEvent.CallerDisconnected -> end(FailureReason.CALLER_GONE, null, now)
        }
        return actions.toList()
    }

    private fun start(now: Instant) {
        val withdrawAt = request.deadline - timings.marginWithin(request.deadline - now)
        actions += RequestAction.SetTimer(RequestTimer.CANCEL_BEFORE_DEADLINE, withdrawAt)
        actions += RequestAction.SetTimer(RequestTimer.DEADLINE, request.deadline)
        startStage(now)
    }

    private fun startStage(now: Instant) {
        if (stageIndex == 0 && request.ticket == null && !isAdmitted(now)) return
        budget.recordFirstAttempt()
        val ticket = request.ticket
        if (ticket != null && !stage.idempotent) {
            startTicketStage(ticket, now)
            return
        }
        dispatchToChosen(now)
        if (stage.hedged && stage.idempotent) {
            val delay = HedgePolicy.delay(selector.stageTimes(stage.pool), route.objective, request.deadline - now)
            actions += RequestAction.SetTimer(RequestTimer.HEDGE, now + delay)
        }
    }

    /** The sidecar of the ticket also records where the later non-idempotent stages of the same request run. */
    private fun startTicketStage(ticket: AttemptLocation, now: Instant) {
        if (stageIndex == firstTicketStage) {
            dispatch(ticket, "ticket", candidates = 1, now)
        } else {
            val attempt = AttemptId("${ticket.attempt.value}$ATTEMPT_SEPARATOR${stage.name.value}")
            attach(ticket.copy(attempt = attempt), now)
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

    /** Asks what became of an attempt that another request may have sent, without sending it. */
    private fun attach(location: AttemptLocation, now: Instant) {
        attempts.add(AttemptRecord(location, stageIndex, now, isShared = true))
        selector.recordDispatch(location.endpoint, now)
        step(location.attempt, AttemptEvent.CONNECTION_LOST, now)
    }

    private fun dispatchToChosen(now: Instant) {
        val target = chooseTarget(now)
        when {
            target != null -> dispatch(target.location, target.reason, target.candidates, now)
            !hasOpenAttempt() -> end(lastFailure ?: FailureReason.NO_ENDPOINT, lastRetryAfter, now)
        }
    }

    /** Returns null, with the reason in [lastFailure], when no endpoint can be given the stage. */
    private fun chooseTarget(now: Instant): AttemptTarget? = when (val choice = targets.choose(stageIndex, now)) {
        is TargetChoice.Found -> choice.target
        TargetChoice.PoolMissing -> {
            lastFailure = FailureReason.CONFIGURATION_MISSING
            null
        }
        is TargetChoice.NoEndpoint -> {
            actions += RequestAction.Log(choice.decision)
            lastFailure = lastFailure ?: FailureReason.NO_ENDPOINT
            lastRetryAfter = choice.retryAfter
            null
        }
    }

    private fun dispatch(location: AttemptLocation, reason: String, candidates: Int, now: Instant) {
        attempts.add(AttemptRecord(location, stageIndex, now, isShared = isTicketed))
        selector.recordDispatch(location.endpoint, now)
        val decision = RoutingDecision(location.attempt, stage.name.value, candidates, location.endpoint, reason)
        actions += RequestAction.Log(decision)
        val message = messages.dispatch(location, stageIndex, input, targets.stageLimit(stageIndex, now))
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
        if (!record.isOpen) return
        lastRefusal = refusal.reason
        record.wasNeverSeen = refusal.reason == RefusalReason.NEVER_SEEN
        lastFailure = FailureReason.of(refusal.reason)
        lastRetryAfter = refusal.retryAfterMillis?.milliseconds
        step(refusal.attempt, refusalEvent(record, refusal, now), now)
    }

    private fun refusalEvent(record: AttemptRecord, refusal: Refused, now: Instant): AttemptEvent {
        val movedTo = refusal.movedTo
        if (!record.isShared) return AttemptEvent.REFUSED
        if (movedTo != null) {
            record.moveTarget = movedTo
            return AttemptEvent.MOVED
        }
        return if (findMoveTarget(record, now)) AttemptEvent.MOVABLE else AttemptEvent.REFUSED
    }

    private fun findMoveTarget(record: AttemptRecord, now: Instant): Boolean {
        if (record.moveTarget != null) return true
        if (!mayStartAnother() || !retries.takeUnrun(stage, lastRefusal)) return false
        val target = chooseTarget(now) ?: return false
        record.moveTarget = target.location
        return true
    }

    /**
     * With a ticket another request may have sent the same attempt, so that an unwritten dispatch proves nothing. An
     * unwritten question proves nothing either; it is asked again in time.
     */
    private fun takeNotWritten(attempt: AttemptId, now: Instant) {
        val record = attempts[attempt] ?: return
        if (!record.isOnlyDispatched) return
        lastRefusal = null
        step(attempt, if (record.isShared) AttemptEvent.CONNECTION_LOST else AttemptEvent.NOT_WRITTEN, now)
    }

    private fun takeTaken(attempt: AttemptId, now: Instant) {
        isKeyShared = true
        step(attempt, AttemptEvent.FORGOTTEN, now)
    }

    private fun step(attempt: AttemptId, event: AttemptEvent, now: Instant) {
        val record = attempts[attempt] ?: return
        if (!record.isOpen) return
        val action = record.step(event)
        if (!record.isOpen) recordEnd(record, now)
        when (action) {
            AttemptAction.RETRY -> retryUnrun(now)
            AttemptAction.RETRY_IF_IDEMPOTENT -> retryIfIdempotent(record, event, now)
            AttemptAction.COMPLETE_STAGE -> completeStage(record, now)
            AttemptAction.ASK -> ask(record, event, now)
            AttemptAction.MOVE -> askAbout(record, now)
            AttemptAction.FOLLOW -> followMove(record, now)
            AttemptAction.CANCEL -> send(record, messages.cancel(record))
            AttemptAction.TAKE_FRAME, null -> Unit
        }
    }

    /** The last attempt provably did not run. */
    private fun retryUnrun(now: Instant) = when {
        hasOpenAttempt() -> Unit
        mayStartAnother() && retries.takeUnrun(stage, lastRefusal) -> dispatchToChosen(now)
        else -> end(lastFailure ?: FailureReason.RETRIES_EXHAUSTED, lastRetryAfter, now)
    }

    private fun mayStartAnother(): Boolean =
        !isClosing && leader == null && lastRefusal != RefusalReason.ATTEMPT_MISMATCH

    /** Goes where the ticket was moved; near the deadline only to ask, so that nothing starts late. */
    private fun followMove(record: AttemptRecord, now: Instant) {
        val target = checkNotNull(record.moveTarget) { "attempt ${record.location.attempt} is not moved" }
        val isKnown = target.attempt in attempts
        when {
            isKnown -> end(FailureReason.RETRIES_EXHAUSTED, null, now)
            isClosing -> attach(target, now)
            moveCount++ < timings.maximumMoves -> dispatch(target, "ticket moved", candidates = 1, now)
            else -> {
                attach(target, now)
                end(FailureReason.RETRIES_EXHAUSTED, null, now)
            }
        }
    }

    private fun retryIfIdempotent(record: AttemptRecord, event: AttemptEvent, now: Instant) {
        lastFailure = when {
            isKeyShared -> FailureReason.KEY_SHARED
            event == AttemptEvent.FORGOTTEN -> FailureReason.SIDECAR_GONE
            else -> FailureReason.ENDPOINT_FAILED
        }
        when {
            record.location.attempt == leader -> end(FailureReason.ANSWER_INCOMPLETE, null, now)
            !stage.idempotent -> end(lastFailure ?: FailureReason.ENDPOINT_FAILED, null, now)
            hasOpenAttempt() -> Unit
            !isClosing && budget.tryTake() -> dispatchToChosen(now)
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
        lastRefusal = null
        retries.reset()
        if (isClosing && !stage.idempotent) {
            end(FailureReason.DEADLINE_UNREACHABLE, null, now)
        } else {
            startStage(now)
        }
    }

    private fun ask(record: AttemptRecord, event: AttemptEvent, now: Instant) {
        askAbout(record, now)
        val isAlone = openAttempts().size == 1
        val mayReplace = event == AttemptEvent.CONNECTION_LOST && stage.idempotent && isAlone && mayStartAnother()
        if (mayReplace && budget.tryTake()) dispatchToChosen(now)
    }

    private fun askAbout(record: AttemptRecord, now: Instant) {
        send(record, messages.question(record))
        actions += RequestAction.SetTimer(RequestTimer.ASK_AGAIN, now + timings.queryInterval)
    }

    private fun takeTimer(timer: RequestTimer, now: Instant) {
        when (timer) {
            RequestTimer.HEDGE -> hedge(now)
            RequestTimer.ASK_AGAIN -> askAgain(now)
            RequestTimer.CANCEL_BEFORE_DEADLINE -> withdrawWaiting()
            RequestTimer.DEADLINE -> end(FailureReason.DEADLINE_PASSED, null, now)
        }
    }

    private fun withdrawWaiting() {
        isClosing = true
        openAttempts().filter { it.state != AttemptState.MOVING }.forEach {
            send(it, messages.cancel(it, onlyIfWaiting = true))
        }
    }

    private fun hedge(now: Instant) {
        val only = openAttempts().singleOrNull() ?: return
        val mayHedge = stage.hedged && stage.idempotent && leader == null
        if (!mayHedge || isClosing) return
        val predicted = tables.poolOf(stage)?.let { selector.predict(it, now) }
        val times = selector.stageTimes(stage.pool)
        val remaining = request.deadline - now
        val isWorthwhile = HedgePolicy.isWorthwhile(predicted, times, elapsed = now - only.sentAt, remaining)
        if (isWorthwhile && budget.tryTakeHedge()) {
            dispatchToChosen(now)
        } else {
            actions += RequestAction.SetTimer(RequestTimer.HEDGE, now + HedgePolicy.recheckDelay(times, remaining))
        }
    }

    private fun askAgain(now: Instant) {
        val asking = openAttempts().filter { it.awaitsEvidence }
        asking.forEach { send(it, messages.question(it)) }
        if (asking.isNotEmpty()) actions += RequestAction.SetTimer(RequestTimer.ASK_AGAIN, now + timings.queryInterval)
    }

    private fun abandonOthers(winner: AttemptId, now: Instant) {
        val losers = openAttempts().map { it.location.attempt }.filter { it != winner }
        losers.forEach { step(it, AttemptEvent.ABANDON, now) }
    }

    private fun end(reason: FailureReason, retryAfter: Duration?, now: Instant) {
        val outcome = attempts.outcome(reason, retryAfter)
        openAttempts().forEach { step(it.location.attempt, AttemptEvent.ABANDON, now) }
        if (request.ticket == null) admission.recordUnanswered(route, now)
        complete(outcome)
    }

    private fun complete(outcome: RequestOutcome) {
        isComplete = true
        actions += RequestAction.Complete(outcome)
    }

    private fun send(record: AttemptRecord, message: AttemptMessage) {
        record.isOnlyDispatched = false
        actions += RequestAction.Send(record.location.endpoint, record.location.incarnation, message)
    }

    private fun recordEnd(record: AttemptRecord, now: Instant) =
        selector.recordEnd(record.location.endpoint, record.result, now - record.sentAt, now)

    private fun openAttempts(): List<AttemptRecord> = attempts.open(stageIndex)

    private fun hasOpenAttempt(): Boolean = openAttempts().isNotEmpty()
}
