package org.bilberryhead.load.policy

import org.bilberryhead.core.admission.AdmissionControl
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.gate.ConnectionId
import org.bilberryhead.core.gate.GateEvent
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Failed
import org.bilberryhead.core.message.Frame
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Refused
import org.bilberryhead.core.pipeline.AdmittedRequest
import org.bilberryhead.core.pipeline.RequestAction
import org.bilberryhead.core.pipeline.RequestEvent
import org.bilberryhead.core.pipeline.RequestExecution
import org.bilberryhead.core.pipeline.RequestOutcome
import org.bilberryhead.core.pipeline.RequestTimer
import org.bilberryhead.core.retry.RetryBudget
import org.bilberryhead.core.routing.Candidate
import org.bilberryhead.core.routing.PolicySelector
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Tables
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** An entry that executes requests with real [RequestExecution]s in virtual time. */
class SimulatedEntry(
    private val index: Int,
    deployment: Deployment,
    contender: Contender,
    private val tables: Tables,
    private val endpoints: Map<EndpointId, SimulatedEndpoint>,
    private val time: VirtualTime,
    private val reportLag: Duration,
    random: Random,
    private val onAttempt: (EndpointId, Dispatch) -> Unit,
) {
    private class ActiveRequest(val execution: RequestExecution, val complete: (RequestOutcome) -> Unit) {
        val timerGenerations = HashMap<RequestTimer, Int>()
        val sent = LinkedHashMap<RequestAction.Send, Unit>()
    }

    private val dataCentre = deployment.dataCentres[index % deployment.dataCentres.size]
    private val selector = PolicySelector(::candidates, dataCentre, random, contender.choice)
    private val admission: AdmissionControl = contender.admission(selector)
    private val budget = RetryBudget()
    private val activeRequests = HashMap<RequestId, ActiveRequest>()

    /** Starts the execution of [request]; [complete] is called with its outcome. */
    fun start(request: AdmittedRequest, complete: (RequestOutcome) -> Unit) {
        val route = tables.routes.getValue(Deployment.KIND)
        val execution = RequestExecution(request, route, tables, selector, budget, admission = admission)
        val active = ActiveRequest(execution, complete)
        activeRequests[request.id] = active
        handle(request.id, active, RequestEvent.Started)
    }

    /** Handles [message] from [endpoint]. */
    fun receive(endpoint: EndpointId, message: Message) {
        loadOf(message)?.let { recordLoadAfterLag(endpoint, it) }
        if (message !is AttemptMessage) return
        val id = RequestId(message.attempt.value.substringBefore(':'))
        activeRequests[id]?.let { handle(id, it, RequestEvent.MessageArrived(message)) }
    }

    /** Records the load report of [endpoint] once the report lag has passed. */
    fun recordLoadAfterLag(endpoint: EndpointId, load: LoadReport) {
        if (reportLag == Duration.ZERO) {
            selector.recordLoad(endpoint, load, time.now)
        } else {
            time.after(reportLag) { selector.recordLoad(endpoint, load, time.now) }
        }
    }

    /** Handles the loss of the connection to [endpoint]. */
    fun connectionLost(endpoint: EndpointId) = forEachAttemptOn(endpoint) { RequestEvent.ConnectionLost(it.attempt) }

    /** Handles the connection of a new incarnation of the sidecar of [endpoint]. */
    fun incarnationReplaced(endpoint: EndpointId) =
        forEachAttemptOn(endpoint) { RequestEvent.IncarnationReplaced(it.attempt) }

    /** Returns the one-way network latency to [endpoint]. */
    fun latency(endpoint: SimulatedEndpoint): Duration =
        if (endpoint.endpoint.dataCentre == dataCentre) LATENCY_WITHIN_DATA_CENTRE else LATENCY_BETWEEN_DATA_CENTRES

    private fun forEachAttemptOn(endpoint: EndpointId, event: (Dispatch) -> RequestEvent) {
        for ((id, active) in activeRequests.toList().sortedBy { it.first.value }) {
            val sent = active.sent.keys.filter { it.endpoint == endpoint }.map { it.message }
            sent.filterIsInstance<Dispatch>().forEach { handle(id, active, event(it)) }
        }
    }

    private fun handle(id: RequestId, active: ActiveRequest, event: RequestEvent) {
        for (action in active.execution.handle(event, time.now)) perform(id, active, action)
    }

    private fun perform(id: RequestId, active: ActiveRequest, action: RequestAction) {
        when (action) {
            is RequestAction.Send -> send(id, active, action)
            is RequestAction.SetTimer -> setTimer(id, active, action)
            is RequestAction.Complete -> {
                activeRequests.remove(id)
                active.complete(action.outcome)
            }
            is RequestAction.Deliver, is RequestAction.Log -> Unit
        }
    }

    private fun send(id: RequestId, active: ActiveRequest, action: RequestAction.Send) {
        val target = endpoints.getValue(action.endpoint)
        val message = action.message
        if (message is Dispatch) {
            active.sent[action] = Unit
            onAttempt(action.endpoint, message)
        }
        val isReachable = target.isUp && target.incarnation == action.incarnation
        if (!isReachable) {
            if (message is Dispatch) time.after(Duration.ZERO) { reportNotWritten(id, message) }
            return
        }
        time.after(latency(target)) {
            if (target.incarnation == action.incarnation) {
                target.handle(GateEvent.MessageArrived(ConnectionId(index.toLong()), message))
            }
        }
    }

    private fun reportNotWritten(id: RequestId, message: Dispatch) {
        activeRequests[id]?.let { handle(id, it, RequestEvent.NotWritten(message.attempt)) }
    }

    private fun setTimer(id: RequestId, active: ActiveRequest, action: RequestAction.SetTimer) {
        val generation = (active.timerGenerations[action.timer] ?: 0) + 1
        active.timerGenerations[action.timer] = generation
        time.at(action.at) {
            val isCurrent = activeRequests[id] === active && active.timerGenerations[action.timer] == generation
            if (isCurrent) handle(id, active, RequestEvent.TimerFired(action.timer))
        }
    }

    private fun candidates(pool: Pool): List<Candidate> = pool.endpoints.mapNotNull { endpoint ->
        val target = endpoints.getValue(endpoint.id)
        if (target.isUp) Candidate(endpoint.id, target.incarnation, endpoint.dataCentre) else null
    }

    private fun loadOf(message: Message): LoadReport? = when (message) {
        is Frame -> message.load
        is Refused -> message.load
        is Failed -> message.load
        else -> null
    }

    private companion object {
        val LATENCY_WITHIN_DATA_CENTRE = 250.microseconds
        val LATENCY_BETWEEN_DATA_CENTRES = 1_500.microseconds
    }
}
