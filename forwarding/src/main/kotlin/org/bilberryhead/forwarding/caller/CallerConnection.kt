package org.bilberryhead.forwarding.caller

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.bilberryhead.core.memory.BodyAdmission
import org.bilberryhead.core.memory.BodyDecision
import org.bilberryhead.core.memory.MemoryBudget
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.platform.wire.WireHeaders
import java.io.IOException
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Reads complete requests from one caller's connection, serves them in order, and writes the responses. */
internal class CallerConnection(
    private val state: CallerServerState,
    bodies: BodyAdmission = BodyAdmission(MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory())),
    private val handler: RequestHandler,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var decoder = newDecoder()
    private var requestHead: HttpRequest? = null
    private val body = IncomingBody(bodies, ::readBodyThatWaited)
    private var current: ActiveResponse? = null
    private val waitingRequests = ArrayDeque<CallerRequest>()
    private var rejection: FullHttpResponse? = null
    private var lastProgressAt = state.now()
    private var idleTimeout = state.limits.idleTimeout
    private var unsentBytes = 0L
    private var headStartedAt: Instant? = null
    private var headerTimeout = state.limits.headerTimeout
    private var bodyBytesLimit = 0
    private var isContinueDue = false
    private var isReadingStopped = false
    private val lingeringClose = LingeringClose({ channel }, state::now)

    /** Whether what arrives is ignored, and the connection closes after the responses to what was read. */
    private var isEnding = false

    private val isServing: Boolean get() = current != null || waitingRequests.isNotEmpty()

    /** Whether the current response is the last one: nothing follows that was read, even in part. */
    private val isLast: Boolean
        get() = waitingRequests.isEmpty() && rejection == null && (isReadingStopped || !isReading)

    /** Whether a request has been read in part. */
    val isReading: Boolean get() = requestHead != null || headStartedAt != null

    /** Adds this connection and its codec to [pipeline]. */
    fun addTo(pipeline: ChannelPipeline) {
        pipeline.addLast(DecoderUpdate()).addLast(decoder).addLast(HttpResponseEncoder()).addLast(this)
    }

    private fun newDecoder() = StrictRequestDecoder(state.limits.headerBytes, ::recordHeadStart)

    private fun recordHeadStart() {
        if (isEnding) return
        headStartedAt = state.now()
        headerTimeout = state.limits.headerTimeout
    }

    /** Whether a request is being served or waits to be, or part of a response has not been sent yet. */
    val isBusy: Boolean get() = isServing || pendingBytes > 0

    private val pendingBytes: Long get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            recordProgress()
            if (message is HttpObject && !isEnding) read(message)
            if (message is HttpContent) lingeringClose.countDropped(message.content().readableBytes())
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        val failure = message.decoderResult().cause()
        if (failure != null) {
            val method = (message as? HttpRequest)?.method() ?: requestHead?.method()
            return reject(RequestCheck.statusOf(failure), failure.message ?: "not HTTP", method)
        }
        if (message is HttpRequest) readHead(message)
        if (message is HttpContent) readBody(message)
    }

    private fun readHead(request: HttpRequest) {
        headStartedAt = null
        val problem = RequestCheck.problemOf(request)
        if (problem != null) return reject(BAD_REQUEST, problem, request.method())
        requestHead = request
        bodyBytesLimit = state.limits.bodyBytes
        isContinueDue = HttpUtil.is100ContinueExpected(request)
        when (body.begin(request, bodyBytesLimit, state.now())) {
            BodyDecision.READ -> if (!isServing) sendDueContinue()
            BodyDecision.WAIT -> channel.config().isAutoRead = false
            BodyDecision.REFUSE -> reject(NOT_RUN, NO_MEMORY)
        }
    }

    private fun readBodyThatWaited() {
        if (!isServing) sendDueContinue()
        resumeReading()
    }

    private fun sendDueContinue() {
        if (!isContinueDue || body.isWaiting) return
        isContinueDue = false
        channel.writeAndFlush(
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
        )
    }

    private fun readBody(content: HttpContent) {
        val request = requestHead ?: return
        if (body.size + content.content().readableBytes() > maxOf(bodyBytesLimit, state.limits.bodyBytes)) {
            return reject(BODY_TOO_LARGE, "body too large")
        }
        if (!body.add(content.content())) return reject(NOT_RUN, NO_MEMORY)
        if (content !is LastHttpContent) return
        requestHead = null
        isContinueDue = false
        val held = body.take()
        val completeRequest = CallerRequest(
            method = request.method(),
            uri = request.uri(),
            headers = request.headers(),
            body = held.body,
            keepsConnection = HttpUtil.isKeepAlive(request),
            receivedAt = state.now(),
            bodyClaim = held.claim,
        )
        if (!completeRequest.keepsConnection) isEnding = true
        enqueue(completeRequest)
    }

    private fun enqueue(request: CallerRequest) {
        waitingRequests.addLast(request)
        if (waitingRequests.size > MAXIMUM_WAITING_REQUESTS) channel.config().isAutoRead = false
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        // Only now is it known whether more requests have arrived; a response before that could close the connection.
        serveNext()
        context.fireChannelReadComplete()
    }

    private fun serve(request: CallerRequest) {
        val response = ActiveResponse(request)
        current = response
        if (!state.runGuarded { response.listener = handler.serve(request, response) }) response.fail()
    }

    private fun serveNext() {
        if (current != null) return
        val next = waitingRequests.removeFirstOrNull() ?: return
        resumeReading()
        serve(next)
    }

    private fun resumeReading() {
        if (isReadingStopped || body.isWaiting || channel.config().isAutoRead) return
        // What the connection itself did not read was not late.
        recordProgress()
        headStartedAt = headStartedAt?.let { lastProgressAt }
        channel.config().isAutoRead = true
    }

    private fun recordProgress() {
        lastProgressAt = state.now()
        idleTimeout = state.limits.idleTimeout
    }

    /** Responds to a request that is not read completely, after the responses to those before it. */
    private fun reject(status: Int, reason: String, method: HttpMethod? = requestHead?.method()) {
        val response = if (status == NOT_RUN) {
            LocalResponses.notRun(requestHead?.headers()?.get(WireHeaders.REQUEST_ID), reason, RETRY_AFTER)
        } else {
            FullResponse(ResponseHead(status, EmptyHttpHeaders.INSTANCE), reason.encodeToByteArray())
        }
        requestHead = null
        headStartedAt = null
        body.drop()
        isEnding = true
        state.rejected(status, reason)
        val message = ResponseMessages.full(response, method, closes = true)
        if (isServing) rejection = message else lingeringClose.closeAfter(message)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        body.drop()
        waitingRequests.forEach { it.release() }
        waitingRequests.clear()
        current?.let {
            current = null
            it.listener?.callerDisconnected()
            it.request.release()
        }
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException) {
            // Mostly a reset by the caller; channelInactive() then notifies the handler.
            context.close()
            return
        }
        state.recordFailure(cause)
        if (isReading) reject(NOT_RUN, UNEXPECTED_FAILURE)
        isEnding = true
        if (!isBusy && !isLingering) context.close()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) current?.listener?.callerCaughtUp()
    }

    /**
     * Rejects a request that arrives too slowly, and closes a connection that was idle for too long. Of the limits when
     * the time began and those of now, the longer ones apply.
     */
    fun checkTimeouts(now: Instant) {
        lingeringClose.closeIfOver(now, state.limits.bodyBytes)
        if (body.isWaitOver(now)) return reject(NOT_RUN, NO_MEMORY)
        if (!channel.config().isAutoRead) return
        recordSentBytes()
        val limits = state.limits
        val started = headStartedAt
        val isIdleTimeOver = now - lastProgressAt > maxOf(idleTimeout, limits.idleTimeout)
        when {
            started != null && now - started > maxOf(headerTimeout, limits.headerTimeout) && !isServing ->
                reject(REQUEST_TIMEOUT, "the head of the request took too long")

            requestHead != null && isIdleTimeOver -> reject(REQUEST_TIMEOUT, "the body of the request took too long")
            !isServing && !isReading && isIdleTimeOver -> channel.close()
        }
    }

    /** A caller that receives a response slowly is not idle. */
    private fun recordSentBytes() {
        val unsentNow = pendingBytes
        if (unsentNow < unsentBytes) recordProgress()
        unsentBytes = unsentNow
    }

    /** Whether the caller of a rejected request has yet to close the connection. */
    val isLingering: Boolean get() = lingeringClose.isInProgress

    /** Closes the connection unless a request is being read or served on it or a response is still being sent. */
    fun closeIfIdle() {
        if (!isBusy && !isReading && !isLingering) channel.close()
    }

    /** Stops reading, and refuses a request that was read only in part; responses in progress can still be written. */
    fun stopReading() {
        if (isReading) reject(NOT_RUN, PROCESS_ENDS)
        isReadingStopped = true
        channel.config().isAutoRead = isLingering
    }

    private inner class ActiveResponse(val request: CallerRequest) : ResponseWriter {
        var listener: CallerListener? = null
        private var isStarted = false

        /** Whether the head of the response has announced that the connection closes after it. */
        private var closes = false

        override val isOpen: Boolean get() = current === this

        override val isCongested: Boolean get() = isOpen && !channel.isWritable

        override fun send(response: FullResponse) {
            if (!isOpen) return
            announceClose()
            val written = channel.writeAndFlush(ResponseMessages.full(response, request.method, closes))
            if (closes) written.addListener(ChannelFutureListener.CLOSE)
            complete(closes)
        }

        override fun start(head: ResponseHead) {
            if (!isOpen) return
            isStarted = true
            announceClose()
            channel.write(ResponseMessages.chunkedHead(head, closes))
        }

        private fun announceClose() {
            closes = isLast && (isEnding || state.isDraining)
            if (closes) isEnding = true
        }

        override fun write(bytes: ByteArray) {
            if (isOpen) channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        }

        override fun finish() {
            if (!isOpen) return
            val closing = closes || (isEnding && isLast)
            val written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            if (closing) written.addListener(ChannelFutureListener.CLOSE)
            complete(closing)
        }

        override fun abort() {
            if (!isOpen) return
            current = null
            request.release()
            channel.close()
        }

        override fun whenSent(action: () -> Unit) {
            // An empty write completes after all earlier ones.
            if (isOpen) channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { action() }
        }

        /** Ends the response after an exception that was not expected: whether the request has run is unknown. */
        fun fail() {
            if (isStarted) return abort()
            send(FullResponse(ResponseHead(UNKNOWN, EmptyHttpHeaders.INSTANCE), UNEXPECTED_FAILURE.encodeToByteArray()))
        }

        private fun complete(closing: Boolean) {
            current = null
            request.release()
            recordProgress()
            if (closing) return
            if (waitingRequests.isNotEmpty()) return channel.eventLoop().execute(::serveNext)
            rejection?.let { return lingeringClose.closeAfter(it) }
            sendDueContinue()
        }
    }

    /** Lets the next request use a limit of the header size that was raised since the connection was opened. */
    private inner class DecoderUpdate : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (decoder.isBetweenRequests && decoder.maximumHeaderBytes < state.limits.headerBytes) {
                val previous = decoder
                decoder = newDecoder()
                context.pipeline().replace(previous, null, decoder)
            }
            super.channelRead(context, message)
        }
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val REQUEST_TIMEOUT = 408
        const val BODY_TOO_LARGE = 413
        const val UNKNOWN = 502
        const val NOT_RUN = 503
        const val PROCESS_ENDS = "the process ends"
        const val NO_MEMORY = "no memory for the body"

        /** Time in which other requests end and return their memory. */
        val RETRY_AFTER = 1.seconds
        const val UNEXPECTED_FAILURE = "unexpected failure"
        const val MAXIMUM_WAITING_REQUESTS = 4
    }
}
