package org.bilberryhead.entry

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.bilberryhead.core.admission.AdmissionControl
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.pipeline.AdmittedRequest
import org.bilberryhead.core.pipeline.RequestAction
import org.bilberryhead.core.pipeline.RequestEvent
import org.bilberryhead.core.pipeline.RequestExecution
import org.bilberryhead.core.pipeline.RequestOutcome
import org.bilberryhead.core.pipeline.RequestTimer
import org.bilberryhead.core.pipeline.RoutingDecision
import org.bilberryhead.core.retry.RetryBudget
import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Tables
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds

/**
 * Executes requests: drives the [RequestExecution] of each with messages, timers and links.
 *
 * @param log receives one line for each routing decision
 */
class RequestRunner(
    private val links: LinkSource,
    private val selector: EndpointSelector,
    private val clock: Clock,
    private val budget: RetryBudget,
    private val metrics: EntryMetrics,
    private val admission: AdmissionControl = AdmissionControl.Open,
    private val log: KLogger = KotlinLogging.logger("routing"),
) {
    /**
     * Runs [request] to completion and returns its outcome. Parts of a streamed response are passed to [deliver], which
     * must not block. When the caller's coroutine is cancelled, work that has not started is cancelled too.
     */
    suspend fun run(
        request: AdmittedRequest,
        route: Route,
        tables: Tables,
        deliver: (RequestAction.Deliver) -> Unit,
    ): RequestOutcome = coroutineScope {
        request.ticket?.let { links.link(it.endpoint)?.awaitFirstConnection(FIRST_CONNECTION_TIMEOUT) }
        val execution = RequestExecution(request, route, tables, selector, budget, admission = admission)
        val running = RunningRequest(this, execution, request, deliver)
        try {
            running.runToEnd()
        } catch (cancellation: CancellationException) {
            running.abandon()
            throw cancellation
        } finally {
            running.close()
        }
    }

    private companion object {
        /** How long a request with a ticket waits for the first connection to the sidecar of its endpoint. */
        val FIRST_CONNECTION_TIMEOUT = 500.milliseconds
    }

    private inner class RunningRequest(
        private val scope: CoroutineScope,
        private val execution: RequestExecution,
        private val request: AdmittedRequest,
        private val deliver: (RequestAction.Deliver) -> Unit,
    ) {
        private val events = Channel<RequestEvent>(Channel.UNLIMITED)
        private val subscriber = AttemptSubscriber { events.trySend(it) }
        private val timers = HashMap<RequestTimer, Job>()
        private val sentMessages = LinkedHashMap<AttemptLink, MutableSet<AttemptMessage>>()
        private val dispatchedStages = HashSet<StageName>()

        suspend fun runToEnd(): RequestOutcome {
            events.send(RequestEvent.Started)
            for (event in events) {
                for (action in execution.handle(event, clock.now())) {
                    if (action is RequestAction.Complete) return action.outcome
                    perform(action, event)
                }
            }
            error("request ${request.id} ended without an outcome")
        }

        fun abandon() {
            execution.handle(RequestEvent.CallerDisconnected, clock.now()).forEach {
                perform(it, RequestEvent.CallerDisconnected)
            }
        }

        fun close() {
            timers.values.forEach { it.cancel() }
            sentMessages.forEach { (link, messages) -> messages.forEach { link.unsubscribe(it.attempt, subscriber) } }
        }

        private fun perform(action: RequestAction, cause: RequestEvent) {
            when (action) {
                is RequestAction.Send -> send(action, cause)
                is RequestAction.SetTimer -> setTimer(action)
                is RequestAction.Deliver -> deliver(action)
                is RequestAction.Log -> logDecision(action.decision)
                is RequestAction.Complete -> Unit
            }
        }

        private fun send(action: RequestAction.Send, cause: RequestEvent) {
            val message = action.message
            if (message is Dispatch) countDispatch(message, cause)
            val link = links.link(action.endpoint)
            if (link == null) {
                events.trySend(RequestEvent.NotWritten(message.attempt))
                return
            }
            sentMessages.getOrPut(link) { mutableSetOf() } += message
            link.send(action.incarnation, message, subscriber)
        }

        private fun countDispatch(dispatch: Dispatch, cause: RequestEvent) {
            val isFirst = dispatchedStages.add(dispatch.stage)
            val isHedge = cause == RequestEvent.TimerFired(RequestTimer.HEDGE)
            when {
                isFirst -> metrics.countFirstAttempt(dispatch.stage)
                isHedge -> metrics.countHedge(dispatch.stage)
                else -> metrics.countRetry(dispatch.stage)
            }
        }

        private fun setTimer(action: RequestAction.SetTimer) {
            timers.remove(action.timer)?.cancel()
            timers[action.timer] = scope.launch {
                delay(action.at - clock.now())
                events.send(RequestEvent.TimerFired(action.timer))
            }
        }

        private fun logDecision(decision: RoutingDecision) {
            val chosen = decision.chosen ?: "none"
            log.info {
                "routing: request ${request.id} stage ${decision.stage} attempt ${decision.attempt}: " +
                    "chose $chosen of ${decision.candidates}, ${decision.reason}"
            }
        }
    }
}
