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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Limits of a [SidecarGate].
 *
 * @property concurrency attempts that the endpoint works on at once
 * @property queueCapacity attempts that may wait
 */
data class GateLimits(val concurrency: Int = 4, val queueCapacity: Int = 64)

/**
 * Decides what reaches one endpoint. Every attempt runs at most once, whatever the entries believe: the gate refuses
 * work while leaving, work past its deadline, and attempt ids that it has seen.
 *
 * Pure: events in, actions out. Not safe for use by several threads.
 */
class SidecarGate(
    private val incarnation: Incarnation,
    private var limits: GateLimits = GateLimits(),
    private val ledger: AttemptLedger = AttemptLedger(),
    private val admission: GateAdmission = GateAdmission(),
) {
    private val queue = SidecarQueue(limits.queueCapacity)
    private val running = HashMap<AttemptId, RunningAttempt>()
    private val subscribers = HashMap<AttemptId, ConnectionId>()
    private val connections = LinkedHashSet<ConnectionId>()
    private var state = SidecarChart.chart.initial

    /** Current counts. */
    val status: GateStatus
        get() = GateStatus(load(), state != SidecarState.SERVING, ledger.size)

    /** Takes new limits, as the pools table sets them. */
    fun changeLimits(newLimits: GateLimits) {
        limits = newLimits
    }

    /** Handles [event], which happened at [now], and returns what to do about it. */
    fun handle(event: GateEvent, now: Instant): List<GateAction> {
        val actions = mutableListOf<GateAction>()
        when (event) {
            is GateEvent.MessageArrived -> takeMessage(event.connection, event.message, now, actions)
            is GateEvent.ConnectionOpened -> connections += event.connection
            is GateEvent.ConnectionClosed -> connections -= event.connection
            is GateEvent.EndpointAnswered -> takeAnswer(event, now, actions)
            is GateEvent.EndpointDidNotRun -> takeNotRun(event, now, actions)
            is GateEvent.EndpointFailed -> takeFailure(event, now, actions)
            GateEvent.Ready -> step(SidecarEvent.READY, actions)
            GateEvent.Leave -> step(SidecarEvent.LEAVE, actions)
            GateEvent.Tick -> ledger.forgetOld(now)
        }
        startWaiting(now, actions)
        if (queue.size == 0 && running.isEmpty()) step(SidecarEvent.DRAINED, actions)
        return actions
    }

    private fun step(event: SidecarEvent, actions: MutableList<GateAction>) {
        val transition = SidecarChart.chart.next(state, event)
        state = transition.target
        when (transition.action) {
            SidecarAction.ANNOUNCE -> connections.forEach { actions += GateAction.Send(it, Leaving) }
            SidecarAction.STOP -> actions += GateAction.Stop
            null -> Unit
        }
    }

    private fun takeMessage(
        connection: ConnectionId,
        message: AttemptMessage,
        now: Instant,
        actions: MutableList<GateAction>,
    ) {
        when (message) {
            is Dispatch -> takeDispatch(connection, message, now, actions)
            is Query -> takeQuery(connection, message, now, actions)
            is Cancel -> takeCancel(connection, message, now, actions)
            is Move -> takeMove(connection, message, actions)
            is Failed, is Forgotten, is Frame, is Refused, is Running -> Unit
        }
    }

    private fun takeDispatch(
        connection: ConnectionId,
        dispatch: Dispatch,
        now: Instant,
        actions: MutableList<GateAction>,
    ) {
        subscribers[dispatch.attempt] = connection
        val known = ledger[dispatch.attempt]
        if (known != null) {
            answerKnown(connection, dispatch.attempt, known, resumeAt = 0, actions)
            return
        }
        val rank = admission.rankOf(dispatch.clientAccount, now)
        val refusal = refusalFor(dispatch, rank, now)
        if (refusal != null) {
            refuse(dispatch.attempt, refusal, now, actions)
            return
        }
        ledger.accept(dispatch.attempt, AttemptFingerprint(dispatch.clientAccount, dispatch.payload.hashCode()))
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

    private fun takeQuery(connection: ConnectionId, query: Query, now: Instant, actions: MutableList<GateAction>) {
        if (query.incarnation != incarnation) {
            actions += GateAction.Send(connection, Forgotten(query.attempt))
            return
        }
        subscribers[query.attempt] = connection
        val known = ledger[query.attempt] ?: ledger.bury(query.attempt, RefusalReason.NEVER_SEEN, now)
        answerKnown(connection, query.attempt, known, query.resumeAt, actions)
    }

    private fun answerKnown(
        connection: ConnectionId,
        attempt: AttemptId,
        known: LedgerEntry,
        resumeAt: Int,
        actions: MutableList<GateAction>,
    ) {
        when (known) {
            is LedgerEntry.Tombstone -> actions += GateAction.Send(connection, refusedMessage(attempt, known))
            is LedgerEntry.Failed -> actions += GateAction.Send(connection, Failed(attempt, known.detail, load()))
            is LedgerEntry.Accepted -> {
                actions += GateAction.Send(connection, Running(attempt))
                replay(connection, attempt, known.frames, resumeAt, finished = false, actions)
            }
            is LedgerEntry.Finished -> replay(connection, attempt, known.frames, resumeAt, finished = true, actions)
        }
    }

    private fun replay(
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

    private fun takeCancel(connection: ConnectionId, cancel: Cancel, now: Instant, actions: MutableList<GateAction>) {
        val attempt = cancel.attempt
        subscribers[attempt] = connection
        val run = running[attempt]
        when {
            run == null -> {
                queue.remove(attempt)
                val known = ledger.bury(attempt, RefusalReason.CANCELLED, now)
                if (known is LedgerEntry.Tombstone) {
                    actions +=
                        GateAction.Send(connection, refusedMessage(attempt, known))
                }
            }
            run.dispatch.idempotent -> stopRun(attempt, now, actions)
            else -> actions += GateAction.Send(connection, Running(attempt))
        }
    }

    private fun stopRun(attempt: AttemptId, now: Instant, actions: MutableList<GateAction>) {
        running.remove(attempt)
        subscribers.remove(attempt)
        ledger.fail(attempt, "cancelled", now)
        actions += GateAction.CancelRun(attempt)
    }

    private fun takeMove(connection: ConnectionId, move: Move, actions: MutableList<GateAction>) {
        val known = ledger.recordMove(move.attempt, move.target)
        if (known == null) {
            actions += GateAction.Send(connection, Forgotten(move.attempt))
        } else {
            answerKnown(connection, move.attempt, known, resumeAt = 0, actions)
        }
    }

    private fun takeAnswer(event: GateEvent.EndpointAnswered, now: Instant, actions: MutableList<GateAction>) {
        val run = running[event.attempt] ?: return
        val number = ledger.append(event.attempt, event.payload, event.last, now)
        if (event.last) {
            running.remove(event.attempt)
            recordService((now - run.startedAt).inWholeMicroseconds / MICROS_PER_MILLI)
        }
        notifySubscriber(event.attempt, Frame(event.attempt, number, event.payload, event.last, load()), actions)
        if (event.last) subscribers.remove(event.attempt)
    }

    private fun takeNotRun(event: GateEvent.EndpointDidNotRun, now: Instant, actions: MutableList<GateAction>) {
        if (running.remove(event.attempt) == null) return
        refuse(event.attempt, RefusalReason.ENDPOINT_UNREACHABLE, now, actions)
    }

    private fun takeFailure(event: GateEvent.EndpointFailed, now: Instant, actions: MutableList<GateAction>) {
        if (running.remove(event.attempt) == null) return
        ledger.fail(event.attempt, event.detail, now)
        notifySubscriber(event.attempt, Failed(event.attempt, event.detail, load()), actions)
        subscribers.remove(event.attempt)
    }

    private fun startWaiting(now: Instant, actions: MutableList<GateAction>) {
        for (hopeless in queue.removeHopeless(now, admission::latestStart)) {
            val isExpired = hopeless.deadline <= now
            val reason = if (isExpired) RefusalReason.DEADLINE_PASSED else RefusalReason.DEADLINE_UNREACHABLE
            refuse(hopeless.dispatch.attempt, reason, now, actions)
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
        val entry = ledger.bury(attempt, reason, now)
        check(entry is LedgerEntry.Tombstone) { "attempt $attempt has run and can not be refused" }
        notifySubscriber(attempt, refusedMessage(attempt, entry), actions)
        subscribers.remove(attempt)
    }

    private fun refusedMessage(attempt: AttemptId, tombstone: LedgerEntry.Tombstone) =
        Refused(attempt, tombstone.reason, retryAfterMillis(), tombstone.movedTo, load())

    private fun notifySubscriber(attempt: AttemptId, message: AttemptMessage, actions: MutableList<GateAction>) {
        val connection = subscribers[attempt] ?: return
        if (connection in connections) actions += GateAction.Send(connection, message)
    }

    private fun recordService(millis: Double) = admission.recordService(millis)

    private fun retryAfterMillis(): Long = ((queue.size + 1) * admission.serviceMillis / concurrency).toLong()

    private fun load() = LoadReport(queue.size, running.size, concurrency, admission.serviceMillis)

    private data class RunningAttempt(val dispatch: Dispatch, val startedAt: Instant)

    private companion object {
        const val MICROS_PER_MILLI = 1000.0
    }
}
