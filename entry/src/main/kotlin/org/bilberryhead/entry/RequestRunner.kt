package org.bilberryhead.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.message.AttemptMessage
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

private val log = KotlinLogging.logger("routing")

/** Runs each request's [RequestExecution] in a coroutine of its own. */
class RequestRunner(
    private val directory: SidecarDirectory,
    private val selector: EndpointSelector,
    private val clock: Clock,
    private val budget: RetryBudget,
) {
    /** Runs [request] to its end; parts of a streamed answer go to [deliver]. */
    suspend fun run(
        request: AdmittedRequest,
        route: Route,
        tables: Tables,
        deliver: suspend (Payload) -> Unit,
    ): RequestOutcome = coroutineScope {
        val execution = RequestExecution(request, route, tables, selector, budget)
        val running = RunningRequest(this, execution, request, deliver)
        try {
            running.runToEnd()
        } finally {
            running.close()
        }
    }

    private inner class RunningRequest(
        private val scope: CoroutineScope,
        private val execution: RequestExecution,
        private val request: AdmittedRequest,
        private val deliver: suspend (Payload) -> Unit,
    ) {
        private val events = Channel<RequestEvent>(Channel.UNLIMITED)
        private val timers = HashMap<RequestTimer, Job>()
        private val sent = LinkedHashMap<SidecarLink, MutableSet<AttemptMessage>>()

        suspend fun runToEnd(): RequestOutcome {
            events.send(RequestEvent.Started)
            for (event in events) {
                for (action in execution.handle(event, clock.now())) {
                    if (action is RequestAction.Complete) return action.outcome
                    perform(action)
                }
            }
            error("request ${request.id} ended without an outcome")
        }

        fun close() {
            timers.values.forEach { it.cancel() }
            sent.forEach { (link, messages) -> messages.forEach { link.forget(it.attempt) } }
        }

        private suspend fun perform(action: RequestAction) {
            when (action) {
                is RequestAction.Send -> send(action)
                is RequestAction.SetTimer -> setTimer(action)
                is RequestAction.Deliver -> deliver(action.payload)
                is RequestAction.Log -> logDecision(action.decision)
                is RequestAction.Complete -> Unit
            }
        }

        private fun send(action: RequestAction.Send) {
            val link = directory.link(action.endpoint)
            if (link == null) {
                events.trySend(RequestEvent.NotWritten(action.message.attempt))
                return
            }
            sent.getOrPut(link) { mutableSetOf() } += action.message
            link.send(action.incarnation, action.message) { events.trySend(it) }
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
                    "chose $chosen of ${decision.candidates}, ${decision.why}"
            }
        }
    }
}
