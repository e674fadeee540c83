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

/** A model of an entry process that runs real request executions, with one link to each sidecar. */
internal class ModelEntry(private val session: ModelSession, val name: String) : CandidateSource {
    private class Link(val sidecar: ModelSidecar) {
        var connection: ModelConnection? = null
        var incarnation: Incarnation? = null
        var isLeaving = false
        var openAttempts = OpenAttempts<RequestId>()
    }

    private class ActiveRequest(val submission: Submission, val execution: RequestExecution) {
        val timers = HashMap<RequestTimer, Int>()
    }

    private val links = session.sidecars.associate { it.endpoint.id to Link(it) }
    private val requests = LinkedHashMap<RequestId, ActiveRequest>()
    private val selector = FakeSelector(this)
    private val budget = RetryBudget()
    val process = ModelProcess(session.loop)

    fun start() {
        process.start()
        links.values.forEach { connect(it) }
    }

    /** Kills the process, which restarts after [RESTART_DELAY]; its requests end without an outcome. */
    fun kill() {
        session.log("$name is killed")
        process.kill()
        links.values.forEach { link ->
            link.connection?.reset()
            link.connection = null
            link.incarnation = null
            link.openAttempts = OpenAttempts()
        }
        val interrupted = requests.values.map { it.submission }
        requests.clear()
        session.loop.after(RESTART_DELAY) { start() }
        interrupted.forEach { session.recordOutcome(it, null) }
    }

    fun freeze() {
        process.freeze()
        links.values.forEach { it.connection?.checkSilenceAfterTimeout() }
        session.loop.after(FREEZE_TIME) { process.resume() }
    }

    fun submit(submission: Submission) = process.after(Duration.ZERO) {
        val timings = session.executionTimings
        val execution =
            RequestExecution(submission.request, session.scenario.route, session.tables, selector, budget, timings)
        requests[submission.request.id] = ActiveRequest(submission, execution)
        handle(submission.request.id, RequestEvent.Started)
    }

    fun disconnectCaller(request: RequestId) = process.after(Duration.ZERO) {
        handle(request, RequestEvent.CallerDisconnected)
    }

    /** Returns the current connection to [sidecar], or null. */
    fun connectionTo(sidecar: ModelSidecar): ModelConnection? = links.getValue(sidecar.endpoint.id).connection

    override fun candidates(pool: Pool): List<Candidate> = pool.endpoints.mapNotNull { endpoint ->
        val link = links.getValue(endpoint.id)
        link.incarnation.takeUnless { link.isLeaving }?.let { Candidate(endpoint.id, it, endpoint.dataCentre) }
    }

    fun onMessage(connection: ModelConnection, message: Message) {
        val link = links.getValue(connection.sidecar.endpoint.id)
        if (link.connection !== connection) return
        val participants = Participants(this, connection.sidecar, connection)
        when (message) {
            is AttemptMessage -> {
                session.recordArrival(message, participants, name)
                notifySubscribers(link, message.attempt, RequestEvent.MessageArrived(message))
            }
            is Leaving -> {
                link.isLeaving = true
                session.reach(Step.LEAVING_ARRIVED, participants, "$name < ${connection.sidecar.name}: leaving")
            }
            else -> Unit
        }
    }

    fun onConnectionLost(connection: ModelConnection) {
        val link = links.getValue(connection.sidecar.endpoint.id)
        if (link.connection !== connection) return
        link.connection = null
        link.incarnation = null
        val participants = Participants(this, connection.sidecar, null)
        session.reach(Step.CONNECTION_LOST, participants, "$name lost the connection to ${connection.sidecar.name}")
        openAttemptsOf(link).forEach { (attempt, open) ->
            handle(open.subscriber, RequestEvent.ConnectionLost(attempt))
        }
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
            link.sidecar.onConnectionOpened(connection)
            val incarnation = link.sidecar.incarnation
            val isLeaving = link.sidecar.isLeaving
            process.after(WireTimings.LATENCY) { onConnected(link, connection, incarnation, isLeaving) }
        }
        process.after(WireTimings.SILENCE_TIMEOUT) { reconnectIfUnanswered(link, connection) }
    }

    private fun reconnectIfUnanswered(link: Link, connection: ModelConnection) {
        if (link.connection !== connection || link.incarnation != null) return
        link.connection = null
        connect(link)
    }

    private fun onConnected(link: Link, connection: ModelConnection, incarnation: Incarnation, isLeaving: Boolean) {
        if (link.connection !== connection) return
        link.incarnation = incarnation
        link.isLeaving = isLeaving
        session.reach(
            Step.CONNECTION_RESTORED,
            Participants(this, link.sidecar, connection),
            "$name is connected to $incarnation",
        )
        openAttemptsOf(link).forEach { (attempt, open) ->
            val isCurrent = open.incarnation == incarnation
            handle(
                open.subscriber,
                if (isCurrent) RequestEvent.ConnectionRestored(attempt) else RequestEvent.IncarnationReplaced(attempt),
            )
        }
    }

    private fun notifySubscribers(link: Link, attempt: AttemptId, event: RequestEvent) =
        link.openAttempts[attempt].forEach { handle(it.subscriber, event) }

    private fun openAttemptsOf(link: Link): List<Pair<AttemptId, OpenAttempt<RequestId>>> = buildList {
        link.openAttempts.forEach { attempt, open -> add(attempt to open) }
    }

    private fun handle(request: RequestId, event: RequestEvent) {
        val active = requests[request] ?: return
        active.execution.handle(event, session.loop.clock.now()).forEach { perform(active, it) }
    }

    private fun perform(active: ActiveRequest, action: RequestAction) {
        val request = active.submission.request.id
        when (action) {
            is RequestAction.Send -> send(request, action)
            is RequestAction.SetTimer -> setTimer(active, action)
            is RequestAction.Deliver -> active.submission.delivered.append(action.payload.text())
            is RequestAction.Log -> Unit
            is RequestAction.Complete -> {
                requests.remove(request)
                links.values.forEach { it.openAttempts.unsubscribeAll(request) }
                session.recordOutcome(active.submission, action.outcome)
            }
        }
    }

    private fun send(request: RequestId, action: RequestAction.Send) {
        val link = links.getValue(action.endpoint)
        val message = action.message
        val isSubscribed = link.openAttempts.subscribeBeforeSend(message, action.incarnation, request)
        val connection = link.connection
        val isWritten = isSubscribed && connection != null && link.incarnation == action.incarnation
        when {
            isWritten -> {
                checkNotNull(connection).toSidecar.send(message)
                session.recordSent(message, Participants(this, link.sidecar, connection), name, link.sidecar.name)
            }
            !isSubscribed -> reportConflict(request, message)
            message is Dispatch -> handleLater(request, RequestEvent.NotWritten(message.attempt))
            link.incarnation != null -> handleLater(request, RequestEvent.IncarnationReplaced(message.attempt))
        }
    }

    /** Reports that this entry uses the attempt id for other work and cannot tell whether the sidecar ran this work. */
    private fun reportConflict(request: RequestId, message: AttemptMessage) {
        if (message !is Dispatch && message !is Query) return
        handleLater(request, RequestEvent.AttemptIdConflict(message.attempt))
    }

    private fun handleLater(request: RequestId, event: RequestEvent) = process.after(Duration.ZERO) {
        handle(request, event)
    }

    private fun setTimer(active: ActiveRequest, action: RequestAction.SetTimer) {
        val generation = (active.timers[action.timer] ?: 0) + 1
        active.timers[action.timer] = generation
        process.after(action.at - session.loop.clock.now()) {
            if (active.timers[action.timer] == generation) {
                handle(active.submission.request.id, RequestEvent.TimerFired(action.timer))
            }
        }
    }

    private companion object {
        val RESTART_DELAY = 200.milliseconds
        val FREEZE_TIME = 700.milliseconds
    }
}
