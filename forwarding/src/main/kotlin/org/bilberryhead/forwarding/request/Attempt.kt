package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.AttemptOutcome
import org.bilberryhead.core.serving.BodyFraming
import org.bilberryhead.core.serving.EngineRequest
import org.bilberryhead.core.serving.EventOrder
import org.bilberryhead.core.serving.ExchangeResult
import org.bilberryhead.core.serving.ResponseVerdict
import org.bilberryhead.core.serving.StreamEvent
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.endpoint.Endpoint
import org.bilberryhead.forwarding.http.ExchangeFailure
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.OutboundConnection
import org.bilberryhead.forwarding.http.OutboundExchange
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.http.ResponseListener
import org.bilberryhead.platform.wire.HeaderValues
import org.bilberryhead.platform.wire.WireHeaders
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Receives the events of attempts. The last call for an attempt is [responseReceived], [streamCompleted] or
 * [attemptFailed], each at most once; none of them follows once this entry has timed the attempt out or cancelled it.
 */
internal interface AttemptListener {
    /** The endpoint sent a complete response that can be forwarded to the caller. */
    fun responseReceived(attempt: Attempt, response: FullResponse)

    /** The next event of a stream arrived, in order; [head] is the head of the stream's response. */
    fun eventReceived(attempt: Attempt, head: ResponseHead, event: StreamEvent)

    /** The endpoint ended the stream as complete. */
    fun streamCompleted(attempt: Attempt, head: ResponseHead)

    /**
     * [attempt] has failed with [failure]; [response] is the endpoint's response that reports it, or null without one.
     */
    fun attemptFailed(attempt: Attempt, failure: AttemptFailure, response: FullResponse?)
}

/** How and why an attempt failed; when it [isFinal], no other endpoint is asked. */
internal data class AttemptFailure(val outcome: AttemptOutcome, val reason: String, val isFinal: Boolean = false)

/** An attempt to run a request at an endpoint: validates the response and records the result in the endpoint's load. */
internal class Attempt(
    val endpoint: Endpoint,
    private val request: AdmittedRequest,
    private val eventOrder: EventOrder,
    private val context: ServingContext,
    private val listener: AttemptListener,
) : ResponseListener {
    private val thread: EventThread get() = context.thread
    private val startedAt: Instant = thread.now()
    private val engineRequest: EngineRequest? = request.prompt?.let { endpoint.engine?.start(it, startedAt) }
    private val buffer = ResponseBuffer(context.memory)
    private var head: ResponseHead? = null
    private var isStreaming = false
    private var isFinished = false

    /** What arrived although reading was paused; a read that had begun is not stopped. */
    private val heldBytes = ByteArrayOutputStream()
    private var hasExchangeEnded = false
    private var isDelivering = false

    private var exchange: OutboundExchange? = null

    /** Whether the request is sent on a connection of the endpoint, or has been; it may have run from then on. */
    var isSent = false

    private var firstEventAt: Instant? = null
    private var isProvenSound = false

    /** Whether part of the response has arrived. */
    val hasReceivedHead: Boolean get() = head != null

    /** Whether an event of the stream has arrived. */
    val hasReceivedEvent: Boolean get() = firstEventAt != null

    /**
     * When the last event arrived, or from when on the next one is awaited; the start of the attempt before the first
     * event.
     */
    var lastEventAt: Instant = startedAt
        private set

    /** Whether reading is paused because the caller reads more slowly than the endpoint sends. */
    var isPaused = false
        private set

    /** Expected time from the start of the attempt to its first event; null when the endpoint is not an engine. */
    val expectedTimeToFirstEvent: Duration? get() = engineRequest?.expectedTimeToFirstEvent

    init {
        endpoint.load.recordStart(startedAt)
    }

    /** Sends [outbound], the form of the request for the endpoint, on [connection]. */
    fun send(outbound: OutboundRequest, connection: OutboundConnection) {
        exchange = connection.send(outbound, request.id.value, this, maximumBodyBytes = Long.MAX_VALUE)
    }

    override fun headReceived(head: ResponseHead) {
        this.head = head
        HeaderValues.loadReport(head.headers[WireHeaders.LOAD])?.let { endpoint.recordLoad(it, thread.now()) }
        val hasBody = head.framing != BodyFraming.NO_BODY
        isStreaming = request.route.repeatRule.isStream && head.status == OK && isSigned(head) && hasBody
    }

    override fun bodyPartReceived(bytes: ByteArray) {
        if (isFinished) return
        if (isStreaming && isPaused) return heldBytes.write(bytes)
        if (isStreaming) deliver(bytes) else buffer.addToBody(bytes)
        if (!isFinished) buffer.reserve()?.let(::bufferingFailed)
    }

    private fun deliver(bytes: ByteArray) {
        isDelivering = true
        try {
            buffer.addToStream(bytes).forEach(::handleEvent)
        } finally {
            isDelivering = false
        }
        // The caller may have caught up meanwhile.
        if (!isPaused) exchange?.resumeReading()
    }

    private fun bufferingFailed(problem: BufferProblem) {
        if (problem != BufferProblem.NO_MEMORY) return failAsBroken(problem.reason)
        exchange?.cancel()
        fail(ExchangeResult.ABANDONED, AttemptOutcome.Broken, problem.reason, response = null)
    }

    private fun handleEvent(event: StreamEvent) {
        if (isFinished) return
        if (!eventOrder.recordNext(event)) return failAsBroken("an event is missing or came twice")
        lastEventAt = thread.now()
        if (!hasReceivedEvent) {
            firstEventAt = lastEventAt
            engineRequest?.let { endpoint.engine?.recordFirstEvent(it, lastEventAt) }
        }
        if (!isBeginning()) recordSound()
        listener.eventReceived(this, checkNotNull(head), event)
    }

    override fun responseCompleted() {
        hasExchangeEnded = true
        if (!isPaused) complete()
    }

    private fun complete() {
        val head = head ?: return failAsBroken("an answer without a head")
        when {
            isFinished -> Unit
            isStreaming -> completeStream(head)
            else -> classify(FullResponse(head, buffer.body))
        }
    }

    private fun completeStream(head: ResponseHead) {
        val isContinued = eventOrder.lastDelivered != request.lastEventId
        val end = StreamEnd(head.framing, hasReceivedEvent, buffer.hasPartialEvent, isContinued)
        when (end.verdict) {
            ResponseVerdict.BROKEN -> failAsBroken("the stream ended too early: ${end.place}, ${head.framing}")
            ResponseVerdict.BROKEN_FINAL -> if (finish(ExchangeResult.SUCCEEDED)) {
                val reason = "the stream was resumed without an event"
                listener.attemptFailed(this, AttemptFailure(AttemptOutcome.Broken, reason, isFinal = true), null)
            }

            ResponseVerdict.COMPLETE -> if (finish(ExchangeResult.SUCCEEDED)) {
                if (hasReceivedEvent) recordEnd(head)
                listener.streamCompleted(this, head)
            }
        }
    }

    private fun classify(response: FullResponse) {
        val status = response.head.status
        val isNotRun = response.head.headers.contains(WireHeaders.NOT_EXECUTED) || status == MISDIRECTED
        when {
            isNotRun -> fail(ExchangeResult.REFUSED, AttemptOutcome.NotRun, "status $status, not run", response)
            status in SUCCESSFUL && !isSigned(response.head) -> failAsBroken("an answer without a signature")
            status in REFUSALS && !request.route.repeatRule.mayRepeat ->
                failAsBroken("status $status, which does not say that the request has not run")

            status in SERVER_FAILURES ->
                fail(ExchangeResult.FAILED, AttemptOutcome.EndpointFailure, "status $status", response)

            else -> if (finish(ExchangeResult.SUCCEEDED)) {
                if (status in SUCCESSFUL) recordEnd(response.head)
                listener.responseReceived(this, response)
            }
        }
    }

    /** Whether the endpoint has not begun to answer, or only just. */
    private fun isBeginning(): Boolean = firstEventAt?.let { thread.now() - it < BEGINNING } ?: true

    /** Records the end of a successful response; a crash ends one that ends with its connection as well. */
    private fun recordEnd(head: ResponseHead) = when {
        isProvenSound -> Unit
        head.framing == BodyFraming.END_OF_CONNECTION -> context.quarantine.ended(endpoint, request.sharedParts)
        else -> recordSound()
    }

    private fun recordSound() {
        if (isProvenSound) return
        isProvenSound = true
        context.quarantine.succeeded(request.sharedParts)
    }

    /** Returns whether the response carries a signature. A response with a Content-Encoding counts as unsigned. */
    private fun isSigned(head: ResponseHead): Boolean =
        head.headers.contains(WireHeaders.SIGNATURE) && !head.headers.contains("Content-Encoding")

    override fun exchangeFailed(failure: ExchangeFailure) = when (failure) {
        is ExchangeFailure.NotSent ->
            fail(ExchangeResult.FAILED, AttemptOutcome.NotSent, failure.reason, response = null)

        is ExchangeFailure.Broken -> fail(ExchangeResult.FAILED, AttemptOutcome.Broken, failure.reason, response = null)
    }

    /** Stops reading from the endpoint until [resume] is called. */
    fun pause() {
        isPaused = true
        exchange?.pauseReading()
    }

    /** Reads on after [pause]. */
    fun resume() {
        if (!isPaused) return
        isPaused = false
        restartReceiveTimeout()
        // What is being delivered comes before what follows.
        if (isDelivering) return
        val held = heldBytes.toByteArray()
        heldBytes.reset()
        if (held.isNotEmpty()) bodyPartReceived(held)
        when {
            isPaused -> Unit
            hasExchangeEnded -> complete()
            else -> exchange?.resumeReading()
        }
    }

    /** Counts the time without an event from now on, because the endpoint may go on for longer. */
    fun restartReceiveTimeout() {
        lastEventAt = thread.now()
    }

    /** Ends the attempt because no connection to the endpoint could be opened. */
    fun connectFailed(reason: String) = fail(ExchangeResult.FAILED, AttemptOutcome.NotSent, reason, response = null)

    /** Ends the attempt because the endpoint took too long, and counts it as a failure of the endpoint. */
    fun timeOut() {
        if (finish(ExchangeResult.FAILED)) exchange?.cancel()
    }

    /**
     * Ends the attempt, and counts no failure: for a reason that the endpoint did not cause, or because another one
     * answered first if [isOvertaken].
     */
    fun cancel(isOvertaken: Boolean = false) {
        if (finish(if (isOvertaken) ExchangeResult.OVERTAKEN else ExchangeResult.ABANDONED)) exchange?.cancel()
    }

    private fun failAsBroken(reason: String) {
        if (isFinished) return
        exchange?.cancel()
        fail(ExchangeResult.FAILED, AttemptOutcome.Broken, reason, response = null)
    }

    private fun fail(result: ExchangeResult, outcome: AttemptOutcome, reason: String, response: FullResponse?) {
        if (!finish(result)) return
        if (outcome == AttemptOutcome.Broken && result == ExchangeResult.FAILED && isBeginning()) {
            context.quarantine.attemptBroken(endpoint, request.sharedParts)
        }
        listener.attemptFailed(this, AttemptFailure(outcome, reason), response)
    }

    /** Records [result] in the endpoint's load figures; returns false when the attempt had already ended. */
    private fun finish(result: ExchangeResult): Boolean {
        if (isFinished) return false
        isFinished = true
        buffer.clear()
        val now = thread.now()
        endpoint.load.recordEnd(result, now - startedAt, now)
        engineRequest?.let {
            endpoint.engine?.recordEnd(
                it,
                failed = result == ExchangeResult.FAILED || result == ExchangeResult.REFUSED,
            )
        }
        return true
    }

    private companion object {
        const val OK = 200
        const val MISDIRECTED = 421

        /** Time from the first event in which a crash of the endpoint may be due to the request. */
        val BEGINNING = 1.seconds
        val SUCCESSFUL = 200..299
        val SERVER_FAILURES = 500..599

        /** Statuses by which a caller is promised that its request has not run. */
        val REFUSALS = setOf(408, 429, 503)
    }
}
