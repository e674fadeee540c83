package org.bilberryhead.core.testing.model

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.execution.OpenAttempt
import org.bilberryhead.core.execution.OpenAttempts
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Leaving
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Query
import org.bilberryhead.core.pipeline.RequestAction
import org.bilberryhead.core.pipeline.RequestEvent
import org.bilberryhead.core.pipeline.RequestExecution
import org.bilberryhead.core.pipeline.RequestTimer
import org.bilberryhead.core.retry.RetryBudget
import org.bilberryhead.core.routing.Candidate
import org.bilberryhead.core.routing.CandidateSource
import org.bilberryhead.core.tables.Pool
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** An entry process around real request executions, with one link to each sidecar. */
internal class ModelEntry(private val session: ModelSession, val name: String) : CandidateSource {
    private class Link(val sidecar: ModelSidecar) {
        var connection: ModelConnection? = null
        var incarnation: Incarnation? = null
        var isLeaving = false
        var listeners = OpenAttempts<RequestId>()
    }

    private class Running(val submission: Submission, val execution: RequestExecution) {
        val timers = HashMap<RequestTimer, Int>()
    }

    private val links = session.sidecars.associate { it.endpoint.id to Link(it) }
    private val requests = LinkedHashMap<RequestId, Running>()
    private val selector = FakeSelector(this)
    private val budget = RetryBudget()
    val process = ModelProcess(session.loop)

    fun start() {
        process.start()
        links.values.forEach { connect(it) }
    }

    fun kill() {
        session.note("$name is killed")
        process.kill()
        links.values.forEach { link ->
            link.connection?.reset()
            link.connection = null
            link.incarnation = null
            link.listeners = OpenAttempts()
        }
        val lost = requests.values.map { it.submission }
        requests.clear()
        session.loop.after(RESTART_TIME) { start() }
        lost.forEach { session.told(it, null) }
    }

    fun freeze() {
        process.freeze()
        links.values.forEach { it.connection?.watch() }
        session.loop.after(FREEZE_TIME) { process.wake() }
    }

    fun submit(submission: Submission) = process.after(Duration.ZERO) {
        val timings = session.executionTimings
        val execution =
            RequestExecution(submission.request, session.scenario.route, session.tables, selector, budget, timings)
        requests[submission.request.id] = Running(submission, execution)
        handle(submission.request.id, RequestEvent.Started)
    }

    fun abandon(request: RequestId) = process.after(Duration.ZERO) { handle(request, RequestEvent.CallerDisconnected) }

    /** Returns the connection to [sidecar] that is in use, if any. */
    fun connectionTo(sidecar: ModelSidecar): ModelConnection? = links.getValue(sidecar.endpoint.id).connection

    override fun candidates(pool: Pool): List<Candidate> = pool.endpoints.mapNotNull { endpoint ->
        val link = links.getValue(endpoint.id)
        link.incarnation.takeUnless { link.isLeaving }?.let { Candidate(endpoint.id, it, endpoint.dataCentre) }
    }

    fun received(connection: ModelConnection, message: Message) {
        val link = links.getValue(connection.sidecar.endpoint.id)
        if (link.connection !== connection) return
        val place = Place(this, connection.sidecar, connection)
        when (message) {
            is AttemptMessage -> {
                session.arrived(message, place, name)
                tell(link, message.attempt, RequestEvent.MessageArrived(message))
            }
            is Leaving -> {
                link.isLeaving = true
                session.arrive(Step.LEAVING_ARRIVED, place, "$name hears that ${connection.sidecar.name} is leaving")
            }
            else -> Unit
        }
    }

    fun lost(connection: ModelConnection) {
        val link = links.getValue(connection.sidecar.endpoint.id)
        if (link.connection !== connection) return
        link.connection = null
        link.incarnation = null
        val place = Place(this, connection.sidecar, null)
        session.arrive(Step.CONNECTION_LOST, place, "$name lost ${connection.sidecar.name}")
        listenersOf(link).forEach { (attempt, open) -> handle(open.subscriber, RequestEvent.ConnectionLost(attempt)) }
        process.after(WireTimings.RECONNECT_DELAY) { connect(link) }
    }

    private fun connect(link: Link) {
        if (link.connection != null) return
        if (!link.sidecar.process.isAlive) {
            process.after(WireTimings.RECONNECT_DELAY) { connect(link) }
            return
        }
        val connection = session.newConnection(this, link.sidecar)
        link.connection = connection
        link.sidecar.process.after(WireTimings.LATENCY) {
            link.sidecar.opened(connection)
            val incarnation = link.sidecar.incarnation
            val isLeaving = link.sidecar.isLeaving
            process.after(WireTimings.LATENCY) { welcomed(link, connection, incarnation, isLeaving) }
        }
        process.after(WireTimings.SILENCE_LIMIT) { retryConnect(link, connection) }
    }

    private fun retryConnect(link: Link, connection: ModelConnection) {
        if (link.connection !== connection || link.incarnation != null) return
        link.connection = null
        connect(link)
    }

    private fun welcomed(link: Link, connection: ModelConnection, incarnation: Incarnation, isLeaving: Boolean) {
        if (link.connection !== connection) return
        link.incarnation = incarnation
        link.isLeaving = isLeaving
        session.arrive(Step.CONNECTION_RESTORED, Place(this, link.sidecar, connection), "$name has $incarnation")
        listenersOf(link).forEach { (attempt, open) ->
            val isSame = open.incarnation == incarnation
            handle(
                open.subscriber,
                if (isSame) RequestEvent.ConnectionRestored(attempt) else RequestEvent.IncarnationReplaced(attempt),
            )
        }
    }

    private fun tell(link: Link, attempt: AttemptId, event: RequestEvent) =
        link.listeners[attempt].forEach { handle(it.subscriber, event) }

    private fun listenersOf(link: Link): List<Pair<AttemptId, OpenAttempt<RequestId>>> = buildList {
        link.listeners.forEach { attempt, open -> add(attempt to open) }
    }

    private fun handle(request: RequestId, event: RequestEvent) {
        val running = requests[request] ?: return
        running.execution.handle(event, session.loop.clock.now()).forEach { perform(running, it) }
    }

    private fun perform(running: Running, action: RequestAction) {
        val request = running.submission.request.id
        when (action) {
            is RequestAction.Send -> send(request, action)
            is RequestAction.SetTimer -> setTimer(running, action)
            is RequestAction.Deliver -> running.submission.delivered.append(action.payload.text())
            is RequestAction.Log -> Unit
            is RequestAction.Complete -> {
                requests.remove(request)
                links.values.forEach { it.listeners.unsubscribeAll(request) }
                session.told(running.submission, action.outcome)
            }
        }
    }

    private fun send(request: RequestId, action: RequestAction.Send) {
        val link = links.getValue(action.endpoint)
        val message = action.message
        val isAdmitted = link.listeners.subscribeBeforeSend(message, action.incarnation, request)
        val connection = link.connection
        val isWritten = isAdmitted && connection != null && link.incarnation == action.incarnation
        when {
            isWritten -> {
                checkNotNull(connection).toSidecar.send(message)
                session.sent(message, Place(this, link.sidecar, connection), name, link.sidecar.name)
            }
            !isAdmitted -> endUntold(request, message)
            message is Dispatch -> later(request, RequestEvent.NotWritten(message.attempt))
            link.incarnation != null -> later(request, RequestEvent.IncarnationReplaced(message.attempt))
        }
    }

    /** The attempt stands for other work here; whether the sidecar has this work under it, this entry can not tell. */
    private fun endUntold(request: RequestId, message: AttemptMessage) {
        if (message !is Dispatch && message !is Query) return
        later(request, RequestEvent.AttemptIdConflict(message.attempt))
    }

    private fun later(request: RequestId, event: RequestEvent) = process.after(Duration.ZERO) { handle(request, event) }

    private fun setTimer(running: Running, action: RequestAction.SetTimer) {
        val setting = (running.timers[action.timer] ?: 0) + 1
        running.timers[action.timer] = setting
        process.after(action.at - session.loop.clock.now()) {
            if (running.timers[action.timer] == setting) {
                handle(running.submission.request.id, RequestEvent.TimerFired(action.timer))
            }
        }
    }

    private companion object {
        val RESTART_TIME = 200.milliseconds
        val FREEZE_TIME = 700.milliseconds
    }
}
