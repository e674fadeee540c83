package org.bilberryhead.core.gate

import org.bilberryhead.core.admission.GateAdmission
import org.bilberryhead.core.admission.GateOccupancy
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.execution.AttemptFingerprint
import org.bilberryhead.core.execution.AttemptLedger
import org.bilberryhead.core.execution.LedgerEntry
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Cancel
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Failed
import org.bilberryhead.core.message.Forgotten
import org.bilberryhead.core.message.Frame
import org.bilberryhead.core.message.Leaving
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.message.Move
import org.bilberryhead.core.message.Query
import org.bilberryhead.core.message.RefusalReason
import org.bilberryhead.core.message.Refused
import org.bilberryhead.core.message.Running
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Limits of a [SidecarGate].
 *
 * @property concurrency number of attempts that the endpoint runs concurrently
 * @property queueCapacity number of attempts that may be queued
 * @property queryGracePeriod how long a leaving sidecar stays after the request to leave and after its last attempt has
 *   ended, so that it can refuse dispatches in transit and respond to queries of entries that lost their connection
 * @property maximumGracePeriod upper limit of the time that a leaving sidecar without work stays until the deadlines of
 *   non-idempotent attempts, because no other process can respond to queries about their tickets
 */
data class GateLimits(
    val concurrency: Int = 4,
    val queueCapacity: Int = 64,
    val queryGracePeriod: Duration = 3.seconds,
    val maximumGracePeriod: Duration = 30.seconds,
)

/**
 * Decides which attempts reach one endpoint, and when. Every attempt runs at most once, even if entries send it
 * repeatedly: the gate responds to a repeated attempt id from its ledger. It refuses attempts while the sidecar is
 * leaving, and attempts past their deadline.
 *
 * Has no side effects: handles events and returns actions. Not thread-safe.
 */
class SidecarGate(
    private val incarnation: Incarnation,
    private var limits: GateLimits = GateLimits(),
    private val ledger: AttemptLedger = AttemptLedger(),
    private val admission: GateAdmission = GateAdmission(),
) {
    private val queue = SidecarQueue(limits.queueCapacity)
    private val running = HashMap<AttemptId, RunningAttempt>()
    private val subscriptions = Subscriptions()
    private var state = SidecarChart.chart.initial
    private val gracePeriod = DrainGracePeriod()
    private var consecutiveFailures = 0

    /** The current state of the gate, for metrics and status. */
    val status: GateStatus
        get() = GateStatus(load(), state != SidecarState.SERVING, ledger.size)

    /** Replaces the limits, for example after a change of the pools table. */
    fun changeLimits(newLimits: GateLimits) {
        limits = newLimits
    }

    /** Handles [event], which happened at [now], and returns the resulting actions. */
    fun handle(event: GateEvent, now: Instant): List<GateAction> {
        val actions = mutableListOf<GateAction>()
        when (event) {
            is GateEvent.MessageArrived -> handleMessage(event.connection, event.message, now, actions)
            is GateEvent.MessageQueueFull ->
                if (subscriptions.isOpen(event.connection)) {
                    handleDispatch(event.connection, event.dispatch, now, actions, hasMessageQueueSpace = false)
                }
            is GateEvent.ConnectionOpened -> subscriptions.open(event.connection)
            is GateEvent.ConnectionClosed -> subscriptions.close(event.connection)
            is GateEvent.EndpointResponded -> handleResponse(event, now, actions)
            is GateEvent.EndpointDidNotRun -> handleNotRun(event, now, actions)
            is GateEvent.EndpointFailed -> handleFailure(event, now, actions)
            GateEvent.Ready -> applyEvent(SidecarEvent.READY, actions)
            GateEvent.LeaveRequested -> {
                gracePeriod.recordLeave(now)
                gracePeriod.extendUntil(now + limits.queryGracePeriod)
                applyEvent(SidecarEvent.LEAVE, actions)
            }
            GateEvent.Tick -> ledger.forgetExpired(now)
        }
        startQueued(now, actions)
        if (queue.size == 0 &&
            running.isEmpty() &&
            !gracePeriod.isActive(now, limits.maximumGracePeriod)
        ) {
            applyEvent(SidecarEvent.DRAINED, actions)
        }
        return actions
    }

    private fun applyEvent(event: SidecarEvent, actions: MutableList<GateAction>) {
        val transition = SidecarChart.chart.next(state, event)
        state = transition.target
        when (transition.action) {
            SidecarAction.ANNOUNCE -> subscriptions.connections.forEach { actions += GateAction.Send(it, Leaving) }
            SidecarAction.STOP -> actions += GateAction.Stop
            null -> Unit
        }
    }

    private fun handleMessage(
        connection: ConnectionId,
        message: AttemptMessage,
        now: Instant,
        actions: MutableList<GateAction>,
    ) {
        if (!subscriptions.isOpen(connection)) return
        when (message) {
            is Dispatch -> handleDispatch(connection, message, now, actions)
            is Query -> handleQuery(connection, message, now, actions)
            is Cancel -> handleCancel(connection, message, now, actions)
            is Move -> handleMove(connection, message, actions)
            is Failed, is Forgotten, is Frame, is Refused, is Running -> Unit
        }
    }

    private fun handleDispatch(
        connection: ConnectionId,
        dispatch: Dispatch,
        now: Instant,
        actions: MutableList<GateAction>,
        hasMessageQueueSpace: Boolean = true,
    ) {
        val attempt = dispatch.attempt
        if (dispatch.incarnation != incarnation || ledger.isForgotten(attempt)) {
            actions += GateAction.Send(connection, Forgotten(attempt))
            return
        }
        val fingerprint = AttemptFingerprint(dispatch.clientAccount, dispatch.fingerprint)
        val known = ledger[attempt]
        if (known != null && !known.matches(fingerprint)) {
            actions += GateAction.Send(connection, Refused(attempt, RefusalReason.ATTEMPT_MISMATCH))
            return
        }
        if (!dispatch.idempotent) gracePeriod.extendUntil(now + dispatch.remainingMillis.milliseconds)
        if (!subscriptions.subscribe(attempt, dispatch.request, connection)) return
        if (known != null) {
            sendRecordedState(connection, attempt, known, resumeAt = 0, actions)
            return
        }
        val rank = admission.rankOf(dispatch.clientAccount, now)
        val refusal = refusalFor(dispatch, rank, now) ?: RefusalReason.QUEUE_FULL.takeUnless { hasMessageQueueSpace }
        if (refusal != null) {
            ledger.addTombstone(attempt, refusal, now, fingerprint)
            refuse(attempt, refusal, now, actions)
            return
        }
        ledger.accept(attempt, fingerprint)
        queue.add(QueuedAttempt(dispatch, now + dispatch.remainingMillis.milliseconds, rank))
    }

    private fun refusalFor(dispatch: Dispatch, rank: Int, now: Instant): RefusalReason? = when {
        dispatch.incarnation != incarnation -> RefusalReason.WRONG_INCARNATION
        state != SidecarState.SERVING -> RefusalReason.LEAVING
        dispatch.remainingMillis <= 0 -> RefusalReason.DEADLINE_PASSED
        else -> refusalByLoad(dispatch, rank, now)
    }

    private fun refusalByLoad(dispatch: Dispatch, rank: Int, now: Instant): RefusalReason? {
        val remaining = dispatch.remainingMillis.milliseconds
        val ahead = queue.countAhead(rank, now + remaining)
        val occupancy = GateOccupancy(ahead, running.size, queue.size, queue.capacity, concurrency)
        admission.recordArrival(dispatch.clientAccount, now)
        return admission.refusalFor(rank, remaining, occupancy)
    }

    private val concurrency: Int get() = admission.concurrency(limits.concurrency)

    private fun handleQuery(connection: ConnectionId, query: Query, now: Instant, actions: MutableList<GateAction>) {
        val attempt = query.attempt
        if (query.incarnation != incarnation || ledger.isForgotten(attempt)) {
            actions += GateAction.Send(connection, Forgotten(attempt))
            return
        }
        val fingerprint = AttemptFingerprint(query.clientAccount, query.fingerprint)
        gracePeriod.extendUntil(now + limits.queryGracePeriod)
        val known = ledger[attempt] ?: ledger.addTombstone(attempt, RefusalReason.NEVER_SEEN, now, fingerprint)
        if (!known.matches(fingerprint)) {
            actions += GateAction.Send(connection, Refused(attempt, RefusalReason.ATTEMPT_MISMATCH))
            return
        }
        if (!subscriptions.subscribe(attempt, query.request, connection)) return
        sendRecordedState(connection, attempt, known, query.resumeAt, actions)
    }

    private fun sendRecordedState(
        connection: ConnectionId,
        attempt: AttemptId,
        known: LedgerEntry,
        resumeAt: Int,
        actions: MutableList<GateAction>,
    ) {
        if (known !is LedgerEntry.Accepted) subscriptions.remove(attempt)
        when (known) {
            is LedgerEntry.Tombstone -> actions += GateAction.Send(connection, refusedMessage(attempt, known))
            is LedgerEntry.Failed -> actions += GateAction.Send(connection, Failed(attempt, known.detail, load()))
            is LedgerEntry.Accepted -> {
                actions += GateAction.Send(connection, Running(attempt))
                sendFrames(connection, attempt, known.frames, resumeAt, finished = false, actions)
            }
            is LedgerEntry.Finished -> sendFrames(connection, attempt, known.frames, resumeAt, finished = true, actions)
        }
    }

    private fun sendFrames(
        connection: ConnectionId,
        attempt: AttemptId,
        frames: List<Payload>,
        resumeAt: Int,
        finished: Boolean,
        actions: MutableList<GateAction>,
    ) {
        for (number in resumeAt until frames.size) {
            val last = finished && number == frames.lastIndex
            actions += GateAction.Send(connection, Frame(attempt, number, frames[number], last, load()))
        }
    }

    private fun handleCancel(connection: ConnectionId, cancel: Cancel, now: Instant, actions: MutableList<GateAction>) {
        val attempt = cancel.attempt
        if (cancel.incarnation != incarnation || ledger.isForgotten(attempt)) {
            actions += GateAction.Send(connection, Forgotten(attempt))
            return
        }
        val hasOtherSubscribers = subscriptions.hasOtherSubscribers(attempt, cancel.request)
        if (!cancel.onlyIfWaiting) subscriptions.unsubscribe(attempt, cancel.request)
        val known = ledger[attempt]
        val run = running[attempt]
        when {
            known != null && known !is LedgerEntry.Accepted ->
                sendRecordedState(connection, attempt, known, resumeAt = 0, actions)
            hasOtherSubscribers -> actions += GateAction.Send(connection, Running(attempt))
            run == null -> cancelQueued(connection, attempt, now, actions)
            cancel.onlyIfWaiting || !run.dispatch.idempotent ->
                actions += GateAction.Send(connection, Running(attempt))
            else -> cancelRun(attempt, now, actions)
        }
    }

    private fun cancelQueued(
        connection: ConnectionId,
        attempt: AttemptId,
        now: Instant,
        actions: MutableList<GateAction>,
    ) {
        queue.remove(attempt)
        subscriptions.remove(attempt)
        val entry = ledger.addTombstone(attempt, RefusalReason.CANCELLED, now)
        check(entry is LedgerEntry.Tombstone) { "attempt $attempt has already run and cannot be cancelled" }
        actions += GateAction.Send(connection, refusedMessage(attempt, entry))
    }

    private fun cancelRun(attempt: AttemptId, now: Instant, actions: MutableList<GateAction>) {
        val run = running.remove(attempt)
        if (run != null) admission.recordCancelled(elapsedMillis(run, now))
        subscriptions.remove(attempt)
        ledger.fail(attempt, "cancelled", now)
        actions += GateAction.CancelRun(attempt)
    }

    private fun handleMove(connection: ConnectionId, move: Move, actions: MutableList<GateAction>) {
        when (val known = ledger.recordMove(move.attempt, move.target)) {
            null -> actions += GateAction.Send(connection, Forgotten(move.attempt))
            is LedgerEntry.Tombstone -> actions += GateAction.Send(connection, refusedMessage(move.attempt, known))
            is LedgerEntry.Accepted, is LedgerEntry.Failed, is LedgerEntry.Finished ->
                actions += GateAction.Send(connection, Running(move.attempt))
        }
    }

    private fun handleResponse(event: GateEvent.EndpointResponded, now: Instant, actions: MutableList<GateAction>) {
        val run = running[event.attempt] ?: return
        val number = ledger.append(event.attempt, event.payload, event.last, now)
        if (event.last) {
            running.remove(event.attempt)
            consecutiveFailures = 0
            gracePeriod.extendUntil(now + limits.queryGracePeriod)
            admission.recordService(elapsedMillis(run, now))
        }
        notifySubscribers(event.attempt, Frame(event.attempt, number, event.payload, event.last, load()), actions)
        if (event.last) subscriptions.remove(event.attempt)
    }

    private fun handleNotRun(event: GateEvent.EndpointDidNotRun, now: Instant, actions: MutableList<GateAction>) {
        if (running.remove(event.attempt) == null) return
        consecutiveFailures++
        val entry = ledger.addTombstone(event.attempt, RefusalReason.ENDPOINT_UNREACHABLE, now)
        if (entry is LedgerEntry.Tombstone) {
            refuse(event.attempt, RefusalReason.ENDPOINT_UNREACHABLE, now, actions)
        } else {
            endWithFailure(event.attempt, event.detail, now, actions)
        }
    }

    private fun handleFailure(event: GateEvent.EndpointFailed, now: Instant, actions: MutableList<GateAction>) {
        if (running.remove(event.attempt) == null) return
        consecutiveFailures++
        endWithFailure(event.attempt, event.detail, now, actions)
    }

    private fun endWithFailure(attempt: AttemptId, detail: String, now: Instant, actions: MutableList<GateAction>) {
        ledger.fail(attempt, detail, now)
        gracePeriod.extendUntil(now + limits.queryGracePeriod)
        notifySubscribers(attempt, Failed(attempt, detail, load()), actions)
        subscriptions.remove(attempt)
    }

    private fun startQueued(now: Instant, actions: MutableList<GateAction>) {
        for (overdue in queue.removeOverdue(now, admission::latestStart)) {
            val isExpired = overdue.deadline <= now
            val reason = if (isExpired) RefusalReason.DEADLINE_PASSED else RefusalReason.DEADLINE_UNREACHABLE
            refuse(overdue.dispatch.attempt, reason, now, actions)
        }
        while (running.size < concurrency) {
            val next = queue.poll() ?: return
            admission.recordStart(now)
            running[next.dispatch.attempt] = RunningAttempt(next.dispatch, now)
            val remaining = (next.deadline - now).inWholeMilliseconds
            actions += GateAction.Run(next.dispatch.copy(remainingMillis = remaining))
        }
    }

    private fun refuse(attempt: AttemptId, reason: RefusalReason, now: Instant, actions: MutableList<GateAction>) {
        val entry = ledger.addTombstone(attempt, reason, now)
        check(entry is LedgerEntry.Tombstone) { "attempt $attempt has run and cannot be refused" }
        if (reason != RefusalReason.LEAVING) gracePeriod.extendUntil(now + limits.queryGracePeriod)
        notifySubscribers(attempt, refusedMessage(attempt, entry), actions)
        subscriptions.remove(attempt)
    }

    private fun refusedMessage(attempt: AttemptId, tombstone: LedgerEntry.Tombstone) =
        Refused(attempt, tombstone.reason, admission.drainMillis(queue.size, concurrency), tombstone.movedTo, load())

    private fun notifySubscribers(attempt: AttemptId, message: AttemptMessage, actions: MutableList<GateAction>) {
        subscriptions.connectionsOf(attempt).forEach { actions += GateAction.Send(it, message) }
    }

    private fun elapsedMillis(run: RunningAttempt, now: Instant) =
        (now - run.startedAt).inWholeMicroseconds / MICROS_PER_MILLI

    private fun load() = LoadReport(queue.size, running.size, concurrency, admission.serviceMillis, consecutiveFailures)

    private data class RunningAttempt(val dispatch: Dispatch, val startedAt: Instant)

    private companion object {
        const val MICROS_PER_MILLI = 1000.0
    }
}
