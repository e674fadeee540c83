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
import org.bilberryhead.forwarding.caller.CallerDisconnectListener
import org.bilberryhead.forwarding.caller.ResponseWriter
import org.bilberryhead.forwarding.endpoint.Endpoint
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.OutboundConnection
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.stage.Preparation
import org.bilberryhead.forwarding.stage.PreparationListener
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Takes one request from its admission to its final answer. */
internal class RequestRun(
    private val request: AdmittedRequest,
    private val answer: ResponseWriter,
    private val context: ServingContext,
    private val ended: (RequestRun) -> Unit,
) : AttemptListener,
    PreparationListener,
    CallerDisconnectListener {
    private val route = request.route
    private val order = EventOrder(request.lastEventId)
    private val journal = RequestJournal(request, context)
    private var preparation: Preparation? = null
    private var inputs: List<ResultHandle> = emptyList()
    private var attempt: Attempt? = null
    private var attempts = 0
    private var unreached = 0
    private var mayRunAlready = false
    private var hasBegun = false
    private var isOver = false
    private var waiter: ConnectionWaitQueue.Waiter? = null
    private var endTimer: Timer? = null
    private var watchTimer: Timer? = null
    private val avoided = mutableSetOf<Endpoint>()

    /** Begins to serve the request. */
    fun start() {
        endTimer = context.thread.after(request.endsAt - context.thread.now()) { timeIsOver() }
        if (route.stages.isEmpty()) return dispatch()
        val started = PreparationFactory(context).create(request, this)
        preparation = started
        started.advance()
    }

    override fun prepared(inputs: List<ResultHandle>) {
        this.inputs = inputs
        journal.prepared(inputs.size)
        dispatch()
    }

    override fun notPrepared(reason: String, retryAfter: Duration) = refuse(reason, maxOf(retryAfter, SHORT_WAIT))

    private fun dispatch() {
        if (isOver) return
        when (val choice = EndpointChoice(context).choose(request, inputs, avoided)) {
            EndpointChoice.Choice.NoneKnown -> refuse("no endpoint of ${request.pool} is known", LONG_WAIT)
            EndpointChoice.Choice.NoneFree -> waitForRoom()
            is EndpointChoice.Choice.Use -> send(choice.endpoint)
        }
    }

    private fun waitForRoom() {
        val waiting = ConnectionWaitQueue.Waiter(request.pool, request.priority) {
            waiter = null
            dispatch()
        }
        waiter = waiting
        context.connectionWaitQueue.add(waiting)
    }

    private fun send(endpoint: Endpoint) {
        val started = Attempt(endpoint, route.repeatRule, request.prompt, order, context.thread, this)
        attempt = started
        journal.sending(endpoint, attempts + 1)
        endpoint.connections.acquire(
            mayRepeat = route.repeatRule.mayRepeat,
            opened = { connection ->
                if (attempt !== started || isOver) connection.release() else begin(started, connection)
            },
            failed = { started.notConnected(it) },
        )
    }

    private fun begin(started: Attempt, connection: OutboundConnection) {
        val endpoint = started.endpoint
        if (!context.endpoints.isUsable(endpoint)) {
            connection.release()
            return started.notConnected("the endpoint began to leave while the connection was opened")
        }
        attempts++
        started.connection = connection
        val outbound = OutboundRequests.of(request, endpoint.entry.id, inputs, order.last, context.thread.now())
        connection.send(outbound, request.id.value, started)
        watch(started)
    }

    /** Gives up on an endpoint that is silent for long when another may take over. */
    private fun watch(watched: Attempt) {
        if (!route.repeatRule.mayRepeat) return
        watchTimer = context.thread.after(PATIENCE_CHECK) {
            if (attempt === watched && !isOver) {
                if (AttemptPatience.isOver(route, watched, context.thread.now()) &&
                    mayRetry()
                ) {
                    takeElsewhere(watched)
                } else {
                    watch(watched)
                }
            }
        }
    }

    private fun mayRetry(): Boolean =
        attempts < route.maximumAttempts && context.retryBudget.tryRetry(request.pool, context.thread.now())

    private fun takeElsewhere(stalled: Attempt) {
        journal.failed(stalled.endpoint, "silent for too long", "try elsewhere")
        stalled.giveUp()
        mayRunAlready = true
        avoided += stalled.endpoint
        attempt = null
        again()
    }

    private fun again() {
        // The results were given up once the engine had read them, so that they are made again for another one.
        if (preparation != null && hasBegun) preparation?.restart() else dispatch()
    }

    override fun answered(answer: FullResponse) {
        if (isOver) return
        if (hasBegun) return breakOff("another endpoint did not resume the stream: status ${answer.head.status}")
        finish(answer, attempt?.endpoint)
    }

    override fun streamed(head: ResponseHead, event: StreamEvent) {
        if (isOver) return
        if (!hasBegun) {
            hasBegun = true
            answer.begin(head)
            preparation?.release()
            journal.firstEvent()
        }
        answer.write(event.bytes)
    }

    override fun streamEnded(head: ResponseHead) {
        if (isOver) return
        if (!hasBegun) answer.begin(head)
        answer.finish()
        close(head.status, "complete", attempt?.endpoint)
    }

    override fun failed(outcome: AttemptOutcome, reason: String, answer: FullResponse?) {
        if (isOver) return
        val endpoint = attempt?.endpoint
        if (outcome == AttemptOutcome.NotSent && attempt?.connection != null) attempts--
        attempt = null
        endpoint?.let { avoided += it }
        val history = AttemptHistory(attempts, mayRunAlready)
        val step = AttemptRule.next(route.repeatRule, outcome, history, route.maximumAttempts) {
            isRetryAllowed(outcome)
        }
        mayRunAlready = mayRunAlready || (outcome != AttemptOutcome.NotSent && outcome != AttemptOutcome.NotRun)
        journal.failed(endpoint, reason, step.toString())
        when (step) {
            NextStep.TryElsewhere -> if (answer?.head?.status == INPUTS_GONE) preparation?.restart() else again()
            NextStep.ReportNotRun -> refuse(reason, Refusals.retryAfter(answer) ?: SHORT_WAIT)
            NextStep.ReportUnknown -> if (hasBegun) {
                breakOff(
                    reason,
                )
            } else {
                finish(Refusals.unknown(request.id.value, reason), endpoint)
            }
            NextStep.PassOn -> if (hasBegun) breakOff(reason) else finish(checkNotNull(answer), endpoint)
        }
    }

    /** An endpoint that could not be reached saw nothing, which costs no retry, but not without end. */
    private fun isRetryAllowed(outcome: AttemptOutcome): Boolean {
        if (outcome != AttemptOutcome.NotSent) return context.retryBudget.tryRetry(request.pool, context.thread.now())
        unreached++
        return unreached <= MAXIMUM_UNREACHED
    }

    private fun refuse(reason: String, wait: Duration) {
        if (isOver) return
        if (hasBegun) return breakOff(reason)
        val answer = if (mayRunAlready) {
            Refusals.unknown(request.id.value, reason)
        } else {
            Refusals.notRun(request.id.value, reason, wait * (1 + context.random.nextDouble()))
        }
        finish(answer, endpoint = null, reason)
    }

    private fun timeIsOver() {
        if (isOver) return
        val sent = attempt?.connection != null || mayRunAlready
        val endpoint = attempt?.endpoint
        attempt?.giveUp()
        when {
            hasBegun -> breakOff("the time of the request is over")
            sent -> finish(Refusals.timedOut(request.id.value, "no answer in time"), endpoint, "no answer in time")
            else -> refuse("no endpoint was free in time", SHORT_WAIT)
        }
    }

    /** The process ends soon: refuses the request if nothing of it was sent, so that its caller can go elsewhere. */
    fun refuseIfUnsent() {
        if (attempt?.connection == null && !hasBegun && !mayRunAlready) refuse("the process ends soon", SHORT_WAIT)
    }

    /** The process ends now: tells the caller what is known. */
    fun terminate() {
        refuseIfUnsent()
        if (isOver) return
        val reason = "the process ends"
        if (hasBegun) {
            breakOff(
                reason,
            )
        } else {
            finish(Refusals.unknown(request.id.value, reason), attempt?.endpoint, reason)
        }
    }

    override fun callerDisconnected() {
        if (isOver) return
        if (route.repeatRule == RepeatRule.AT_MOST_ONCE && attempt?.connection != null) {
            journal.ended(status = null, "the caller has left; the request goes on", attempt?.endpoint)
            return
        }
        close(status = null, "the caller has left", attempt?.endpoint)
    }

    private fun breakOff(reason: String) {
        answer.abort()
        close(status = null, reason, attempt?.endpoint)
    }

    private fun finish(whole: FullResponse, endpoint: Endpoint?, reason: String? = null) {
        answer.send(whole)
        close(whole.head.status, reason ?: "answered", endpoint)
    }

    private fun close(status: Int?, reason: String, endpoint: Endpoint?) {
        if (isOver) return
        isOver = true
        waiter?.let(context.connectionWaitQueue::remove)
        endTimer?.cancel()
        watchTimer?.cancel()
        attempt?.abandon()
        preparation?.end()
        journal.ended(status, reason, endpoint)
        ended(this)
    }

    private companion object {
        const val INPUTS_GONE = 409
        const val MAXIMUM_UNREACHED = 4
        val PATIENCE_CHECK = 50.milliseconds
        val SHORT_WAIT = 100.milliseconds
        val LONG_WAIT = 500.milliseconds
    }
}
