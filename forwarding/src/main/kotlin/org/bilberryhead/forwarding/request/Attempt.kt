package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.AttemptOutcome
import org.bilberryhead.core.serving.EngineRequest
import org.bilberryhead.core.serving.EventOrder
import org.bilberryhead.core.serving.EventSplitter
import org.bilberryhead.core.serving.ExchangeResult
import org.bilberryhead.core.serving.Prompt
import org.bilberryhead.core.serving.RepeatRule
import org.bilberryhead.core.serving.StreamEvent
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.endpoint.Endpoint
import org.bilberryhead.forwarding.http.ExchangeFailure
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.OutboundConnection
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.http.ResponseListener
import org.bilberryhead.platform.wire.HeaderValues
import org.bilberryhead.platform.wire.WireHeaders
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Instant

/** Hears of one attempt. Exactly one of [answered], [streamEnded] and [failed] is told. */
internal interface AttemptListener {
    /** A whole answer that can be passed on. */
    fun answered(answer: FullResponse)

    /** The head of a stream and its next event, which follows the one before. */
    fun streamed(head: ResponseHead, event: StreamEvent)

    /** The stream is complete. */
    fun streamEnded(head: ResponseHead)

    /** There is no answer to pass on as it is; [answer] is what the endpoint said of it. */
    fun failed(outcome: AttemptOutcome, reason: String, answer: FullResponse?)
}

/** One request at one endpoint: reads the answer, judges whether it is one, and keeps the endpoint's books. */
internal class Attempt(
    val endpoint: Endpoint,
    private val rule: RepeatRule,
    private val prompt: Prompt?,
    private val order: EventOrder,
    private val thread: EventThread,
    private val listener: AttemptListener,
) : ResponseListener {
    private val startedAt: Instant = thread.now()
    private val visit: EngineRequest? = prompt?.let { endpoint.engine?.begin(it, startedAt) }
    private val splitter = EventSplitter()
    private val body = ByteArrayOutputStream()
    private var head: ResponseHead? = null
    private var isStreaming = false
    private var isOver = false

    /** The connection that carries the attempt, once there is one. */
    var connection: OutboundConnection? = null

    /** Whether an event has arrived. */
    var hasEvents = false
        private set

    /** When the last event arrived, or the attempt began. */
    var lastEventAt: Instant = startedAt
        private set

    /** When the endpoint was expected to show a first event, from the start on; null without an engine. */
    val expectedFirstEvent: Duration? get() = visit?.expectedTimeToFirstEvent

    init {
        endpoint.load.begin(startedAt)
    }

    override fun head(head: ResponseHead) {
        this.head = head
        HeaderValues.load(head.headers[WireHeaders.LOAD])?.let { endpoint.reported(it, thread.now()) }
        isStreaming = rule.isStream && head.status == OK && isSigned(head)
    }

    override fun body(bytes: ByteArray) {
        if (isOver) return
        if (!isStreaming) {
            body.write(bytes)
            return
        }
        splitter.add(bytes).forEach(::takeEvent)
    }

    private fun takeEvent(event: StreamEvent) {
        if (isOver) return
        if (!order.accept(event)) return breakOff("an event is missing or came twice")
        lastEventAt = thread.now()
        if (!hasEvents) {
            hasEvents = true
            visit?.let { endpoint.engine?.recordFirstEvent(it, lastEventAt) }
        }
        listener.streamed(checkNotNull(head), event)
    }

    override fun end() {
        val head = head ?: return breakOff("an answer without a head")
        when {
            isOver -> Unit
            isStreaming && splitter.hasPartialEvent -> breakOff("the stream ended within an event")
            isStreaming -> if (settle(ExchangeResult.SUCCEEDED)) listener.streamEnded(head)
            else -> judge(FullResponse(head, body.toByteArray()))
        }
    }

    private fun judge(answer: FullResponse) {
        val status = answer.head.status
        val saysNotRun = answer.head.headers.contains(WireHeaders.NOT_EXECUTED) || status == MISDIRECTED
        when {
            saysNotRun -> fail(ExchangeResult.REFUSED, AttemptOutcome.NotRun, "status $status, not run", answer)
            status in SUCCESSFUL && !isSigned(answer.head) -> breakOff("an answer without a signature")
            status in SERVER_FAILURES ->
                fail(ExchangeResult.FAILED, AttemptOutcome.EndpointFailure, "status $status", answer)

            else -> if (settle(ExchangeResult.SUCCEEDED)) listener.answered(answer)
        }
    }

    private fun isSigned(head: ResponseHead): Boolean =
        head.headers.contains(WireHeaders.SIGNATURE) && !head.headers.contains("Content-Encoding")

    override fun failed(failure: ExchangeFailure) = when (failure) {
        is ExchangeFailure.NotSent ->
            fail(ExchangeResult.FAILED, AttemptOutcome.NotSent, failure.reason, answer = null)

        is ExchangeFailure.Broken -> fail(ExchangeResult.FAILED, AttemptOutcome.Broken, failure.reason, answer = null)
    }

    /** The endpoint could not be reached. */
    fun notConnected(reason: String) = fail(ExchangeResult.FAILED, AttemptOutcome.NotSent, reason, answer = null)

    /** Gives up waiting for the endpoint, which counts against it. */
    fun giveUp() {
        if (settle(ExchangeResult.FAILED)) connection?.close()
    }

    /** Ends the attempt for a reason that is not the endpoint's. */
    fun abandon() {
        if (settle(ExchangeResult.ABANDONED)) connection?.close()
    }

    private fun breakOff(reason: String) {
        if (isOver) return
        connection?.close()
        fail(ExchangeResult.FAILED, AttemptOutcome.Broken, reason, answer = null)
    }

    private fun fail(result: ExchangeResult, outcome: AttemptOutcome, reason: String, answer: FullResponse?) {
        if (settle(result)) listener.failed(outcome, reason, answer)
    }

    /** Closes the books of the attempt; returns false when that was done before. */
    private fun settle(result: ExchangeResult): Boolean {
        if (isOver) return false
        isOver = true
        val now = thread.now()
        endpoint.load.end(result, now - startedAt, now)
        visit?.let {
            endpoint.engine?.end(
                it,
                failed =
                result == ExchangeResult.FAILED || result == ExchangeResult.REFUSED,
            )
        }
        return true
    }

    private companion object {
        const val OK = 200
        const val MISDIRECTED = 421
        val SUCCESSFUL = 200..299
        val SERVER_FAILURES = 500..599
    }
}
