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
 * Runs one request through the stages of its pipeline: chooses endpoints, retries attempts that did not run, queries
 * the state of attempts whose connection was lost, and ends with exactly one outcome.
 *
 * Has no side effects: handles events and returns actions. Not thread-safe.
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
    private var streamingAttempt: AttemptId? = null
    private var lastFailure: FailureReason? = null
    private var lastRefusal: RefusalReason? = null
    private var lastRetryAfter: Duration? = null
    private var isKeyShared = false
    private var isNearDeadline = false
    private var isComplete = false

    private val stage: Stage get() = route.stages[stageIndex]
    private val isLastStage: Boolean get() = stageIndex == route.stages.lastIndex
    private val runsUnderTicket: Boolean get() = request.ticket != null && !stage.idempotent

    /** Handles [event], which happened at [now], and returns the resulting actions. */
    fun handle(event: RequestEvent, now: Instant): List<RequestAction> {
        if (isComplete) return emptyList()
        actions.clear()
        when (event) {
            RequestEvent.Started -> start(now)
            is RequestEvent.MessageArrived -> handleMessage(event.message, now)
            is RequestEvent.NotWritten -> handleNotWritten(event.attempt, now)
            is RequestEvent.ConnectionLost -> applyEvent(event.attempt, AttemptEvent.CONNECTION_LOST, now)
            is RequestEvent.ConnectionRestored -> applyEvent(event.attempt, AttemptEvent.CONNECTION_RESTORED, now)
            is RequestEvent.IncarnationReplaced -> applyEvent(event.attempt, AttemptEvent.FORGOTTEN, now)
            is RequestEvent.AttemptIdConflict -> handleAttemptIdConflict(event.attempt, now)
            is RequestEvent.TimerFired -> handleTimer(event.timer, now)
            RequestEvent.CallerDisconnected -> failRequest(FailureReason.CALLER_GONE, null, now)
        }
        return actions.toList()
    }

    private fun start(now: Instant) {
        val cancelAt = request.deadline - timings.cancelMarginFor(request.deadline - now)
        actions += RequestAction.SetTimer(RequestTimer.CANCEL_BEFORE_DEADLINE, cancelAt)
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
        dispatchToNextEndpoint(now)
        if (stage.hedged && stage.idempotent) {
            val delay = HedgePolicy.delay(selector.stageTimes(stage.pool), route.objective, request.deadline - now)
            actions += RequestAction.SetTimer(RequestTimer.HEDGE, now + delay)
        }
    }

    /** Later non-idempotent stages use ids derived from [ticket]; its sidecar is queried and records where they run. */
    private fun startTicketStage(ticket: AttemptLocation, now: Instant) {
        if (stageIndex == firstTicketStage) {
            dispatch(ticket, "ticket", candidates = 1, now)
        } else {
            val attempt = AttemptId("${ticket.attempt.value}$ATTEMPT_SEPARATOR${stage.name.value}")
            queryExistingAttempt(ticket.copy(attempt = attempt), now)
        }
    }

    private fun isAdmitted(now: Instant): Boolean {
        val remaining = request.deadline - now
        return when (val decision = admission.check(request.clientAccount, route, tables, remaining, now)) {
            Admission.Admitted -> true
            is Admission.Refused -> {
                failRequest(FailureReason.DEADLINE_UNREACHABLE, decision.retryAfter, now)
                false
            }
        }
    }

    /** Queries the state of an attempt that another request may have sent, without dispatching it. */
    private fun queryExistingAttempt(location: AttemptLocation, now: Instant) {
        attempts.add(AttemptRecord(location, stageIndex, now, isShared = true))
        selector.recordDispatch(location.endpoint, now)
        applyEvent(location.attempt, AttemptEvent.CONNECTION_LOST, now)
    }

    private fun dispatchToNextEndpoint(now: Instant) {
        val target = chooseTarget(now)
        when {
            target != null -> dispatch(target.location, target.reason, target.candidates, now)
            !hasOpenAttempt() -> failRequest(lastFailure ?: FailureReason.NO_ENDPOINT, lastRetryAfter, now)
        }
    }

    /** Returns null and sets [lastFailure] when no endpoint can run the stage. */
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
        attempts.add(AttemptRecord(location, stageIndex, now, isShared = runsUnderTicket))
        selector.recordDispatch(location.endpoint, now)
        val decision = RoutingDecision(location.attempt, stage.name.value, candidates, location.endpoint, reason)
        actions += RequestAction.Log(decision)
        val message = messages.dispatch(location, stageIndex, input, targets.stageTimeout(stageIndex, now))
        actions += RequestAction.Send(location.endpoint, location.incarnation, message)
    }

    private fun handleMessage(message: AttemptMessage, now: Instant) {
        val record = attempts[message.attempt] ?: return
        when (message) {
            is Frame -> handleFrame(record, message, now)
            is Refused -> handleRefusal(record, message, now)
            is Failed -> applyEvent(message.attempt, AttemptEvent.FAILED, now)
            is Running -> applyEvent(message.attempt, AttemptEvent.RUNNING, now)
            is Forgotten -> applyEvent(message.attempt, AttemptEvent.FORGOTTEN, now)
            is Dispatch, is Query, is Cancel, is Move -> Unit
        }
    }

    private fun handleFrame(record: AttemptRecord, frame: Frame, now: Instant) {
        if (!record.isOpen) return
        val ready = record.frames.add(frame)
        if (isStreaming() && ready.isNotEmpty()) deliver(record, ready, now)
        val event = if (record.frames.isComplete) AttemptEvent.LAST_FRAME else AttemptEvent.FRAME
        applyEvent(record.location.attempt, event, now)
    }

    private fun isStreaming() = route.streamed && isLastStage

    private fun deliver(record: AttemptRecord, ready: List<Payload>, now: Instant) {
        if (streamingAttempt == null) {
            streamingAttempt = record.location.attempt
            abandonOthers(record.location.attempt, now)
        }
        ready.forEach { actions += RequestAction.Deliver(it) }
    }

    private fun handleRefusal(record: AttemptRecord, refusal: Refused, now: Instant) {
        if (!record.isOpen) return
        lastRefusal = refusal.reason
        record.neverReachedSidecar = refusal.reason == RefusalReason.NEVER_SEEN
        lastFailure = FailureReason.of(refusal.reason)
        lastRetryAfter = refusal.retryAfterMillis?.milliseconds
        applyEvent(refusal.attempt, refusalEvent(record, refusal, now), now)
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
        if (!mayStartAttempt() || !retries.tryAcquire(stage, lastRefusal)) return false
        val target = chooseTarget(now) ?: return false
        record.moveTarget = target.location
        return true
    }

    /**
     * Under a ticket, another request may have sent the same attempt, so a dispatch that was not written does not prove
     * that the attempt did not run. Nor does a later message that was not written; a timer repeats status requests.
     */
    private fun handleNotWritten(attempt: AttemptId, now: Instant) {
        val record = attempts[attempt] ?: return
        if (!record.hasSentOnlyDispatch) return
        lastRefusal = null
        applyEvent(attempt, if (record.isShared) AttemptEvent.CONNECTION_LOST else AttemptEvent.NOT_WRITTEN, now)
    }

    private fun handleAttemptIdConflict(attempt: AttemptId, now: Instant) {
        isKeyShared = true
        applyEvent(attempt, AttemptEvent.FORGOTTEN, now)
    }

    private fun applyEvent(attempt: AttemptId, event: AttemptEvent, now: Instant) {
        val record = attempts[attempt] ?: return
        if (!record.isOpen) return
        val action = record.applyEvent(event)
        if (!record.isOpen) recordEnd(record, now)
        when (action) {
            AttemptAction.RETRY -> retryNotRun(now)
            AttemptAction.RETRY_IF_IDEMPOTENT -> retryIfIdempotent(record, event, now)
            AttemptAction.COMPLETE_STAGE -> completeStage(record, now)
            AttemptAction.QUERY -> queryAndRetry(record, event, now)
            AttemptAction.RECORD_MOVE -> sendStatusRequest(record, now)
            AttemptAction.FOLLOW_MOVE -> followMove(record, now)
            AttemptAction.CANCEL -> send(record, messages.cancel(record))
            AttemptAction.RECEIVE_FRAME, null -> Unit
        }
    }

    /** Retries the stage after an attempt that did not run, or ends the request. */
    private fun retryNotRun(now: Instant) = when {
        hasOpenAttempt() -> Unit
        mayStartAttempt() && retries.tryAcquire(stage, lastRefusal) -> dispatchToNextEndpoint(now)
        else -> failRequest(lastFailure ?: FailureReason.RETRIES_EXHAUSTED, lastRetryAfter, now)
    }

    private fun mayStartAttempt(): Boolean =
        !isNearDeadline && streamingAttempt == null && lastRefusal != RefusalReason.ATTEMPT_MISMATCH

    /** Continues at the ticket's new location. Near the deadline only queries it, so that no work starts late. */
    private fun followMove(record: AttemptRecord, now: Instant) {
        val target = checkNotNull(record.moveTarget) { "attempt ${record.location.attempt} has no move target" }
        val isKnown = target.attempt in attempts
        when {
            isKnown -> failRequest(FailureReason.RETRIES_EXHAUSTED, null, now)
            isNearDeadline -> queryExistingAttempt(target, now)
            moveCount++ < timings.maximumMoves -> dispatch(target, "ticket moved", candidates = 1, now)
            else -> {
                queryExistingAttempt(target, now)
                failRequest(FailureReason.RETRIES_EXHAUSTED, null, now)
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
            record.location.attempt == streamingAttempt -> failRequest(FailureReason.ANSWER_INCOMPLETE, null, now)
            !stage.idempotent -> failRequest(lastFailure ?: FailureReason.ENDPOINT_FAILED, null, now)
            hasOpenAttempt() -> Unit
            !isNearDeadline && budget.tryTake() -> dispatchToNextEndpoint(now)
            else -> failRequest(lastFailure ?: FailureReason.ENDPOINT_FAILED, null, now)
        }
    }

    private fun completeStage(record: AttemptRecord, now: Instant) {
        abandonOthers(record.location.attempt, now)
        val response = record.frames.completeResponse()
        if (isLastStage) {
            admission.recordServed(route, now)
            complete(RequestOutcome.Answered(if (route.streamed) Payload.EMPTY else response))
            return
        }
        input = response
        stageIndex++
        streamingAttempt = null
        lastFailure = null
        lastRefusal = null
        retries.reset()
        if (isNearDeadline && !stage.idempotent) {
            failRequest(FailureReason.DEADLINE_UNREACHABLE, null, now)
        } else {
            startStage(now)
        }
    }

    private fun queryAndRetry(record: AttemptRecord, event: AttemptEvent, now: Instant) {
        sendStatusRequest(record, now)
        val isOnlyOpen = openAttempts().size == 1
        val mayRetry = event == AttemptEvent.CONNECTION_LOST && stage.idempotent && isOnlyOpen && mayStartAttempt()
        if (mayRetry && budget.tryTake()) dispatchToNextEndpoint(now)
    }

    private fun sendStatusRequest(record: AttemptRecord, now: Instant) {
        send(record, messages.statusRequest(record))
        actions += RequestAction.SetTimer(RequestTimer.REPEAT_QUERY, now + timings.queryInterval)
    }

    private fun handleTimer(timer: RequestTimer, now: Instant) {
        when (timer) {
            RequestTimer.HEDGE -> hedge(now)
            RequestTimer.REPEAT_QUERY -> repeatStatusRequests(now)
            RequestTimer.CANCEL_BEFORE_DEADLINE -> cancelQueuedAttempts()
            RequestTimer.DEADLINE -> failRequest(FailureReason.DEADLINE_PASSED, null, now)
        }
    }

    private fun cancelQueuedAttempts() {
        isNearDeadline = true
        openAttempts().filter { it.state != AttemptState.MOVING }.forEach {
            send(it, messages.cancel(it, onlyIfWaiting = true))
        }
    }

    private fun hedge(now: Instant) {
        val running = openAttempts().singleOrNull() ?: return
        val mayHedge = stage.hedged && stage.idempotent && streamingAttempt == null
        if (!mayHedge || isNearDeadline) return
        val predicted = tables.poolOf(stage)?.let { selector.predict(it, now) }
        val times = selector.stageTimes(stage.pool)
        val remaining = request.deadline - now
        val isWorthwhile = HedgePolicy.isWorthwhile(predicted, times, elapsed = now - running.sentAt, remaining)
        if (isWorthwhile && budget.tryTakeHedge()) {
            dispatchToNextEndpoint(now)
        } else {
            actions += RequestAction.SetTimer(RequestTimer.HEDGE, now + HedgePolicy.recheckDelay(times, remaining))
        }
    }

    private fun repeatStatusRequests(now: Instant) {
        val open = openAttempts().filter { it.awaitsStatus }
        open.forEach { send(it, messages.statusRequest(it)) }
        if (open.isNotEmpty()) actions += RequestAction.SetTimer(RequestTimer.REPEAT_QUERY, now + timings.queryInterval)
    }

    private fun abandonOthers(winner: AttemptId, now: Instant) {
        val losers = openAttempts().map { it.location.attempt }.filter { it != winner }
        losers.forEach { applyEvent(it, AttemptEvent.ABANDON, now) }
    }

    private fun failRequest(reason: FailureReason, retryAfter: Duration?, now: Instant) {
        val outcome = attempts.outcome(reason, retryAfter)
        openAttempts().forEach { applyEvent(it.location.attempt, AttemptEvent.ABANDON, now) }
        if (request.ticket == null) admission.recordUnserved(route, now)
        complete(outcome)
    }

    private fun complete(outcome: RequestOutcome) {
        isComplete = true
        actions += RequestAction.Complete(outcome)
    }

    private fun send(record: AttemptRecord, message: AttemptMessage) {
        record.hasSentOnlyDispatch = false
        actions += RequestAction.Send(record.location.endpoint, record.location.incarnation, message)
    }

    private fun recordEnd(record: AttemptRecord, now: Instant) =
        selector.recordEnd(record.location.endpoint, record.result, now - record.sentAt, now)

    private fun openAttempts(): List<AttemptRecord> = attempts.open(stageIndex)

    private fun hasOpenAttempt(): Boolean = openAttempts().isNotEmpty()
}
