package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.AttemptHistory
import org.bilberryhead.core.serving.AttemptOutcome
import org.bilberryhead.core.serving.AttemptRule
import org.bilberryhead.core.serving.EventOrder
import org.bilberryhead.core.serving.NextStep
import org.bilberryhead.core.serving.RepeatRule
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.StreamEvent
import org.bilberryhead.forwarding.Timer
import org.bilberryhead.forwarding.caller.CallerListener
import org.bilberryhead.forwarding.caller.ResponseWriter
import org.bilberryhead.forwarding.endpoint.Endpoint
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.OutboundConnection
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.stage.Preparation
import org.bilberryhead.forwarding.stage.PreparationListener
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Serves one admitted request up to its final response: runs its preparation stages, sends it to an endpoint, and
 * repeats or resumes it at another endpoint when an attempt fails and the route allows it.
 *
 * @param onFinished called once, when the execution has ended
 */
internal class ForwardedRequestExecution(
    private val request: AdmittedRequest,
    private val responseWriter: ResponseWriter,
    private val context: ServingContext,
    private val onFinished: (ForwardedRequestExecution) -> Unit,
) : AttemptListener,
    PreparationListener,
    CallerListener {
    private val route = request.route
    private val eventOrder = EventOrder(request.lastEventId, route.repeatRule == RepeatRule.RESUMABLE_STREAM)
    private val decisionLog = RequestDecisionLog(request, context)
    private var preparation: Preparation? = null
    private var inputs: List<ResultHandle> = emptyList()
    private var attempt: Attempt? = null
    private var attemptCount = 0
    private var unreachableCount = 0
    private var mayHaveRun = false
    private var isStreaming = false
    private var isFinished = false
    private var waiter: ConnectionWaitQueue.Waiter? = null
    private var deadlineTimer: Timer? = null
    private val silenceCheck = SilenceCheck(request, context)
    private val failedEndpoints = mutableSetOf<Endpoint>()

    /** Starts to serve the request. */
    fun start() {
        deadlineTimer = context.thread.after(request.deadline - context.thread.now()) { onDeadline() }
        if (route.stages.isEmpty()) return dispatch()
        val newPreparation = PreparationFactory(context).create(request, this)
        preparation = newPreparation
        newPreparation.advance()
    }

    override fun prepared(inputs: List<ResultHandle>) {
        this.inputs = inputs
        decisionLog.prepared(inputs.size)
        dispatch()
    }

    override fun notPrepared(reason: String, retryAfter: Duration) = refuse(reason, maxOf(retryAfter, RETRY_DELAY))

    private fun dispatch() {
        if (isFinished) return
        when (val selection = AttemptEndpointSelector(context).select(request, inputs, failedEndpoints)) {
            AttemptEndpointSelector.Selection.NoneKnown ->
                refuse("no endpoint of ${request.pool} is known", LONG_RETRY_DELAY)

            AttemptEndpointSelector.Selection.AllBusy -> waitForConnection()
            is AttemptEndpointSelector.Selection.Selected -> connect(selection.endpoint)
        }
    }

    private fun waitForConnection() {
        val newWaiter = ConnectionWaitQueue.Waiter(request.pool, request.priority) {
            waiter = null
            dispatch()
        }
        waiter = newWaiter
        context.connectionWaitQueue.add(newWaiter)
    }

    private fun connect(endpoint: Endpoint) {
        val newAttempt = Attempt(endpoint, route.repeatRule, request.prompt, eventOrder, context.thread, this)
        attempt = newAttempt
        decisionLog.attemptStarted(endpoint, attemptCount + 1)
        endpoint.connections.acquire(
            requestId = request.id.value,
            mayRepeat = route.repeatRule.mayRepeat,
            opened = { connection ->
                if (attempt !== newAttempt || isFinished) connection.release() else sendAttempt(newAttempt, connection)
            },
            failed = { newAttempt.connectFailed(it) },
        )
    }

    private fun sendAttempt(newAttempt: Attempt, connection: OutboundConnection) {
        val endpoint = newAttempt.endpoint
        if (!context.endpoints.isUsable(endpoint)) {
            connection.release()
            return newAttempt.connectFailed("the endpoint began to leave while the connection was opened")
        }
        attemptCount++
        newAttempt.connection = connection
        val outbound =
            OutboundRequests.create(request, endpoint.entry.id, inputs, eventOrder.lastDelivered, context.thread.now())
        connection.send(outbound, request.id.value, newAttempt, maximumBodyBytes = Long.MAX_VALUE)
        // The attempt may have failed already.
        if (route.repeatRule.mayRepeat && attempt === newAttempt) {
            silenceCheck.start(newAttempt, failedEndpoints) { if (takeRetry()) timeOutAndRetry(newAttempt) }
        }
    }

    private fun takeRetry(): Boolean =
        attemptCount < route.maximumAttempts && context.retryBudget.tryRetry(request.pool, context.thread.now())

    private fun timeOutAndRetry(expiredAttempt: Attempt) {
        decisionLog.attemptFailed(expiredAttempt.endpoint, "silent for too long", "try elsewhere")
        silenceCheck.stop()
        expiredAttempt.timeOut()
        mayHaveRun = true
        failedEndpoints += expiredAttempt.endpoint
        attempt = null
        redispatch()
    }

    private fun redispatch() {
        // The results were released once the stream started, so they have to be computed again for another engine.
        if (preparation != null && isStreaming) preparation?.restart() else dispatch()
    }

    override fun responseReceived(response: FullResponse) {
        if (isFinished) return
        if (isStreaming) return abort("another endpoint did not resume the stream: status ${response.head.status}")
        respond(response, attempt?.endpoint)
    }

    override fun eventReceived(head: ResponseHead, event: StreamEvent) {
        if (isFinished) return
        if (!isStreaming) {
            isStreaming = true
            responseWriter.start(head)
            preparation?.release()
            decisionLog.firstEventForwarded()
        }
        responseWriter.write(event.bytes)
        if (responseWriter.isCongested) attempt?.pause()
    }

    override fun callerCaughtUp() {
        attempt?.resume()
    }

    override fun streamCompleted(head: ResponseHead) {
        if (isFinished) return
        // Nothing says whether the caller has received the last event.
        if (isStreaming && attempt?.hasReceivedEvent == false) return abort("the stream was resumed without an event")
        if (!isStreaming) responseWriter.start(head)
        responseWriter.finish()
        complete(head.status, "complete", attempt?.endpoint)
    }

    override fun attemptFailed(outcome: AttemptOutcome, reason: String, response: FullResponse?) {
        if (isFinished) return
        silenceCheck.stop()
        val endpoint = attempt?.endpoint
        if (outcome == AttemptOutcome.NotSent && attempt?.connection != null) attemptCount--
        attempt = null
        endpoint?.let { failedEndpoints += it }
        val history = AttemptHistory(attemptCount, mayHaveRun)
        val nextStep = AttemptRule.next(route.repeatRule, outcome, history, route.maximumAttempts) {
            takeRetryAfter(outcome)
        }
        mayHaveRun = mayHaveRun || (outcome != AttemptOutcome.NotSent && outcome != AttemptOutcome.NotRun)
        decisionLog.attemptFailed(endpoint, reason, nextStep.toString())
        when (nextStep) {
            NextStep.TryElsewhere -> if (response?.head?.status == INPUTS_GONE) preparation?.restart() else redispatch()
            NextStep.ReportNotRun -> refuse(reason, LocalResponses.retryAfter(response) ?: RETRY_DELAY)
            NextStep.ReportUnknown -> if (isStreaming) {
                abort(reason)
            } else {
                respond(LocalResponses.unknown(request.id.value, reason), endpoint)
            }
            NextStep.ForwardResponse -> if (isStreaming) abort(reason) else respond(checkNotNull(response), endpoint)
        }
    }

    /**
     * Returns whether another attempt may follow, and if so takes a retry from the retry budget. After an attempt
     * that did not reach its endpoint the retry is not counted in the budget; there are at most
     * [MAXIMUM_UNREACHABLE_ATTEMPTS] of those.
     */
    private fun takeRetryAfter(outcome: AttemptOutcome): Boolean {
        if (outcome != AttemptOutcome.NotSent) return context.retryBudget.tryRetry(request.pool, context.thread.now())
        unreachableCount++
        return unreachableCount <= MAXIMUM_UNREACHABLE_ATTEMPTS
    }

    private fun refuse(reason: String, retryAfter: Duration) {
        if (isFinished) return
        if (isStreaming) return abort(reason)
        val response = if (mayHaveRun) {
            LocalResponses.unknown(request.id.value, reason)
        } else {
            LocalResponses.notRun(request.id.value, reason, retryAfter * (1 + context.random.nextDouble()))
        }
        respond(response, endpoint = null, reason)
    }

    private fun onDeadline() {
        if (isFinished) return
        val wasSent = attempt?.connection != null || mayHaveRun
        val endpoint = attempt?.endpoint
        attempt?.timeOut()
        when {
            isStreaming -> abort("the time of the request is over")
            wasSent ->
                respond(LocalResponses.timedOut(request.id.value, "no answer in time"), endpoint, "no answer in time")

            else -> refuse("no endpoint was free in time", RETRY_DELAY)
        }
    }

    /** Refuses the request unless it has been sent to an endpoint, so that its caller can retry at another entry. */
    fun refuseIfUnsent() {
        if (attempt?.connection == null && !isStreaming && !mayHaveRun) refuse("the process ends soon", RETRY_DELAY)
    }

    /** Ends the request because the process stops now; the response reports whether the request may have run. */
    fun terminate() {
        refuseIfUnsent()
        if (isFinished) return
        val reason = "the process ends"
        if (isStreaming) {
            abort(reason)
        } else {
            respond(LocalResponses.unknown(request.id.value, reason), attempt?.endpoint, reason)
        }
    }

    override fun callerDisconnected() {
        if (isFinished) return
        if (route.repeatRule == RepeatRule.AT_MOST_ONCE && attempt?.connection != null) {
            decisionLog.requestEnded(status = null, "the caller has left; the request goes on", attempt?.endpoint)
            return
        }
        complete(status = null, "the caller has left", attempt?.endpoint)
    }

    private fun abort(reason: String) {
        responseWriter.abort()
        complete(status = null, reason, attempt?.endpoint)
    }

    private fun respond(response: FullResponse, endpoint: Endpoint?, reason: String? = null) {
        responseWriter.send(response)
        complete(response.head.status, reason ?: "answered", endpoint)
    }

    private fun complete(status: Int?, reason: String, endpoint: Endpoint?) {
        if (isFinished) return
        isFinished = true
        waiter?.let(context.connectionWaitQueue::remove)
        deadlineTimer?.cancel()
        silenceCheck.stop()
        attempt?.cancel()
        preparation?.end()
        decisionLog.requestEnded(status, reason, endpoint)
        onFinished(this)
    }

    private companion object {
        const val INPUTS_GONE = 409
        const val MAXIMUM_UNREACHABLE_ATTEMPTS = 4
        val RETRY_DELAY = 100.milliseconds
        val LONG_RETRY_DELAY = 500.milliseconds
    }
}
