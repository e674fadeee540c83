package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.AttemptOutcome
import org.bilberryhead.core.serving.CallerTimeout
import org.bilberryhead.core.serving.EventOrder
import org.bilberryhead.core.serving.NextStep
import org.bilberryhead.core.serving.RepeatRule
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.StreamEvent
import org.bilberryhead.forwarding.Timer
import org.bilberryhead.forwarding.caller.CallerListener
import org.bilberryhead.forwarding.caller.LocalResponses
import org.bilberryhead.forwarding.caller.ResponseWriter
import org.bilberryhead.forwarding.endpoint.Endpoint
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.OutboundConnection
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.stage.Preparation
import org.bilberryhead.forwarding.stage.PreparationListener
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

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

    /** When the caller was sent the last event of its stream; null before the first one. */
    private var lastEventAt: Instant? = null
    private val isStreaming: Boolean get() = lastEventAt != null

    /** When the caller disconnects unless it is sent something before. */
    private val callerTimeoutAt: Instant
        get() = CallerTimeout.endsAt(route, request.callerRequest.receivedAt, lastEventAt)
    private var isFinished = false
    private val wait = EndpointWait(request, context) { guarded(::dispatch) }
    private var deadlineTimer: Timer? = null

    private val retries = RequestRetries(request, context)
    private val failedEndpoints = mutableSetOf<Endpoint>()
    private val silenceCheck = SilenceCheck(request, context, failedEndpoints, { isStreaming }, ::retryElsewhere)
    private val replaceable = ReplaceableAttempt()
    private val replacement = AttemptReplacement(request, context, failedEndpoints, retries, replaceable)
    private val hedge =
        RequestHedge(request, context, failedEndpoints, retries, silenceCheck, decisionLog, replaceable)

    /** Runs a block; an exception that was not expected ends the request, so that its caller does not wait for ever. */
    private val guarded: (block: () -> Unit) -> Unit = { block ->
        val isDone = context.thread.runGuarded("request ${request.id}", block)
        if (!isDone) context.thread.runGuarded("end of request ${request.id}", ::terminate)
    }

    /** Starts to serve the request. */
    fun start() = guarded {
        deadlineTimer = context.thread.after(request.deadline - context.thread.now()) { guarded(::onDeadline) }
        if (route.stages.isEmpty()) {
            dispatch()
        } else {
            PreparationFactory(context).create(request, this).also { preparation = it }.advance()
        }
    }

    override fun prepared(inputs: List<ResultHandle>) = guarded {
        this.inputs = inputs
        decisionLog.prepared(inputs.size)
        if (replacement.isInProgress) replacement.connect() else dispatch()
    }

    override fun notPrepared(reason: String, retryAfter: Duration) = guarded {
        if (replacement.isInProgress && attempt != null) {
            replacement.giveUp(reason)
        } else {
            refuse(reason, maxOf(retryAfter, RETRY_DELAY))
        }
    }

    private fun dispatch() {
        if (isFinished || refuseIfBarred()) return
        val selection = AttemptEndpointSelector(context).select(request, inputs, failedEndpoints)
        if (isWorthWaiting(selection)) {
            val firstReturn = (selection as? AttemptEndpointSelector.Selection.AllResting)?.firstReturn
            return wait.start(isSelective = isStreaming || failedEndpoints.isNotEmpty(), firstReturn)
        }
        wait.end()
        when (selection) {
            AttemptEndpointSelector.Selection.NoneKnown ->
                refuse("no endpoint of ${request.pool} is known", LONG_RETRY_DELAY)

            is AttemptEndpointSelector.Selection.AllResting -> {
                decisionLog.allEndpointsRest(selection.retryAfter)
                refuse("all endpoints of ${request.pool} rest", selection.retryAfter, spread = 0.0)
            }

            AttemptEndpointSelector.Selection.AllBusy -> Unit
            is AttemptEndpointSelector.Selection.Selected -> connect(selection.endpoint)
        }
    }

    /**
     * Refuses the request if it has yet to be sent and the end of a drain could cut it, or a part of its prompt crashes
     * endpoints; returns whether it did.
     */
    fun refuseIfBarred(): Boolean {
        if (attempt?.isSent == true) return false
        if (!context.maySend(request, isStreaming)) {
            refuse("the process ends soon", RETRY_DELAY)
            return true
        }
        val refusal = context.quarantine.refusalOf(request.id.value, request.sharedParts) ?: return false
        refuse(refusal.reason, refusal.retryAfter, spread = 0.0)
        return true
    }

    /**
     * Returns whether the request waits until an endpoint can take it. One that has not run is rather sent again by its
     * caller than kept until an endpoint is back or known.
     */
    private fun isWorthWaiting(selection: AttemptEndpointSelector.Selection): Boolean = when (selection) {
        AttemptEndpointSelector.Selection.AllBusy -> true
        AttemptEndpointSelector.Selection.NoneKnown -> isStreaming
        is AttemptEndpointSelector.Selection.AllResting ->
            (isStreaming || retries.mayHaveRun) &&
                context.thread.now() + selection.firstReturn < minOf(callerTimeoutAt, request.deadline)

        is AttemptEndpointSelector.Selection.Selected -> false
    }

    private fun newAttempt(endpoint: Endpoint): Attempt {
        decisionLog.endpointSelected(endpoint)
        return Attempt(endpoint, request, eventOrder, context, GuardedAttemptListener(this, guarded))
    }

    private fun connect(endpoint: Endpoint) {
        val newAttempt = newAttempt(endpoint)
        attempt = newAttempt
        endpoint.connections.acquire(
            requestId = request.id.value,
            mayRepeat = route.repeatRule.mayRepeat,
            opened = { connection ->
                guarded {
                    if (attempt !== newAttempt || isFinished) {
                        connection.release()
                    } else {
                        sendAttempt(newAttempt, connection)
                    }
                }
            },
            failed = { reason -> guarded { newAttempt.connectFailed(reason) } },
        )
    }

    private fun sendAttempt(newAttempt: Attempt, connection: OutboundConnection) {
        val endpoint = newAttempt.endpoint
        if (!context.endpoints.isUsable(endpoint)) {
            // It began to leave or to rest while the connection was opened, or its last permit was used. No failure.
            newAttempt.cancel()
            attempt = null
            connection.release()
            return dispatch()
        }
        if (refuseIfBarred()) {
            newAttempt.cancel()
            return connection.release()
        }
        retries.recordSent()
        context.endpoints.cold.recordSent(endpoint.entry)
        newAttempt.isSent = true
        decisionLog.attemptSent(endpoint, retries.attemptCount)
        val outbound =
            OutboundRequests.create(request, endpoint.entry.id, inputs, eventOrder.lastDelivered, context.thread.now())
        newAttempt.send(outbound, connection)
        // The attempt may have failed already.
        if (attempt !== newAttempt) return
        if (route.repeatRule.mayRepeat) silenceCheck.start(newAttempt)
        hedge.schedule(newAttempt)
    }

    private fun retryElsewhere(expiredAttempt: Attempt): Unit = guarded {
        if (retries.isAvailable() && context.maySend(request, isStreaming)) {
            decisionLog.attemptFailed(expiredAttempt.endpoint, "silent for too long", "try elsewhere")
            silenceCheck.stop()
            hedge.replaced(expiredAttempt)
            failedEndpoints += expiredAttempt.endpoint
            replacement.start()
            // The results were released once the stream started, so another engine needs them computed again.
            preparation?.takeIf { isStreaming }?.restart(callerTimeoutAt) ?: replacement.connect()
        }
    }

    override fun responseReceived(attempt: Attempt, response: FullResponse) {
        if (isFinished) return
        if (isStreaming) return abort("another endpoint did not resume the stream: status ${response.head.status}")
        hedge.answered(attempt)
        respond(response, attempt.endpoint)
    }

    override fun eventReceived(attempt: Attempt, head: ResponseHead, event: StreamEvent) {
        if (isFinished) return
        replacement.responseWentOn()
        val isFirst = !isStreaming
        val now = context.thread.now()
        lastEventAt?.let { decisionLog.eventForwarded(now - it) }
        lastEventAt = now
        if (isFirst) {
            responseWriter.start(head)
            preparation?.release()
            decisionLog.firstEventForwarded()
        }
        responseWriter.write(event.bytes)
        if (responseWriter.isCongested) attempt.pause()
    }

    override fun callerCaughtUp() {
        attempt?.resume()
    }

    override fun streamCompleted(attempt: Attempt, head: ResponseHead) {
        if (isFinished) return
        if (!isStreaming) responseWriter.start(head)
        responseWriter.finish()
        complete(head.status, "complete", attempt.endpoint)
    }

    override fun attemptFailed(attempt: Attempt, failure: AttemptFailure, response: FullResponse?) {
        if (isFinished) return
        failedEndpoints += attempt.endpoint
        when {
            hedge.handleFailure(attempt, failure) -> Unit
            attempt === this.attempt -> currentAttemptFailed(attempt, failure, response)
            else -> replacement.otherAttemptFailed(attempt, failure.reason)
        }
    }

    private fun currentAttemptFailed(failed: Attempt, failure: AttemptFailure, response: FullResponse?) {
        val (outcome, reason, isFinal) = failure
        val endpoint = failed.endpoint
        silenceCheck.stop()
        if (outcome == AttemptOutcome.NotSent && failed.isSent) retries.recordNotSent()
        attempt = null
        if (replacement.takeBack(reason)) return
        val nextStep = if (isFinal) NextStep.ReportUnknown else retries.next(outcome)
        decisionLog.attemptFailed(endpoint, reason, nextStep.toString())
        when (nextStep) {
            NextStep.TryElsewhere -> when {
                replacement.isInProgress -> Unit
                isStreaming || response?.head?.status == INPUTS_GONE ->
                    preparation?.restart(callerTimeoutAt) ?: dispatch()

                else -> dispatch()
            }

            NextStep.ReportNotRun -> refuse(reason, LocalResponses.retryAfter(response) ?: RETRY_DELAY)
            NextStep.ReportUnknown -> if (isStreaming) {
                abort(reason)
            } else {
                respond(LocalResponses.unknown(request.id.value, reason), endpoint)
            }
            NextStep.ForwardResponse -> if (isStreaming) abort(reason) else respond(checkNotNull(response), endpoint)
        }
    }

    /** Refuses the request; [spread] makes callers that are refused together come back at different times. */
    private fun refuse(reason: String, retryAfter: Duration, spread: Double = context.random.nextDouble()) {
        if (isFinished) return
        if (isStreaming) return abort(reason)
        val response = if (retries.mayHaveRun) {
            LocalResponses.unknown(request.id.value, reason)
        } else {
            LocalResponses.notRun(request.id.value, reason, retryAfter * (1 + spread))
        }
        respond(response, endpoint = null, reason)
    }

    private fun onDeadline() {
        if (isFinished) return
        val wasSent = attempt?.isSent == true || retries.mayHaveRun
        val endpoint = attempt?.endpoint
        replacement.end()
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
        if (attempt?.isSent != true &&
            !isStreaming &&
            !retries.mayHaveRun
        ) {
            refuse("the process ends soon", RETRY_DELAY)
        }
    }

    /** Ends the request because the process stops now; the response reports whether the request may have run. */
    fun terminate() {
        refuseIfUnsent()
        if (isFinished) return
        val reason = "the process ends"
        replacement.end()
        if (isStreaming) {
            abort(reason)
        } else {
            respond(LocalResponses.unknown(request.id.value, reason), attempt?.endpoint, reason)
        }
    }

    override fun callerDisconnected() {
        if (isFinished) return
        if (route.repeatRule == RepeatRule.AT_MOST_ONCE && attempt?.isSent == true) {
            decisionLog.requestEnded(status = null, "the caller has left; the request goes on", attempt?.endpoint)
            return
        }
        complete(status = null, "the caller has left", attempt?.endpoint)
    }

    /** Cuts the stream off for [reason], unless it can go on at the endpoint that was silent. */
    private fun abort(reason: String) {
        if (replacement.takeBack(reason)) return
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
        wait.end()
        deadlineTimer?.cancel()
        silenceCheck.stop()
        replacement.end()
        hedge.end()
        attempt?.cancel()
        preparation?.end()
        decisionLog.requestEnded(status, reason, endpoint)
        onFinished(this)
    }

    private inner class ReplaceableAttempt : ReplaceableRequest {
        override val attempt: Attempt? get() = this@ForwardedRequestExecution.attempt

        override val isTooLate: Boolean get() = !context.maySend(request, isStreaming)

        override val inputs: List<ResultHandle> get() = this@ForwardedRequestExecution.inputs

        override fun guarded(block: () -> Unit) = this@ForwardedRequestExecution.guarded(block)

        override fun newAttempt(endpoint: Endpoint): Attempt = this@ForwardedRequestExecution.newAttempt(endpoint)

        override fun moveTo(replacement: Attempt, connection: OutboundConnection) {
            if (attempt != null) retries.recordMayHaveRun()
            this@ForwardedRequestExecution.attempt = replacement
            sendAttempt(replacement, connection)
        }

        override fun stayAt(attempt: Attempt, reason: String) {
            this@ForwardedRequestExecution.attempt = attempt
            decisionLog.attemptKept(attempt.endpoint, reason)
            if (isStreaming) preparation?.end()
            attempt.restartReceiveTimeout()
            silenceCheck.start(attempt)
        }

        override fun dispatchAgain() = dispatch()
    }

    private companion object {
        const val INPUTS_GONE = 409
        val RETRY_DELAY = 100.milliseconds
        val LONG_RETRY_DELAY = 500.milliseconds
    }
}
