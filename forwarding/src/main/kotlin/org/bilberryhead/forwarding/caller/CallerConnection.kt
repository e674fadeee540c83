package org.bilberryhead.forwarding.caller

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import org.bilberryhead.core.serving.CallerLimits
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.http.HopByHopHeaders
import org.bilberryhead.forwarding.http.FullResponse
import java.io.ByteArrayOutputStream
import kotlin.time.Instant

/** What connections of callers need to know of the process. */
internal interface CallerServerState {
    /** The present time. */
    fun now(): Instant

    /** Bounds on what a caller may send. */
    val limits: CallerLimits

    /** Whether the process ends soon, so that no connection is kept. */
    val isDraining: Boolean

    /** Counts a request that was turned away before it was read whole. */
    fun rejected(status: Int, reason: String)
}

/** One connection of a caller: reads whole requests, one after the other, and writes their answers. */
internal class CallerConnection(private val state: CallerServerState, private val handler: RequestHandler) :
    ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var head: HttpRequest? = null
    private val body = ByteArrayOutputStream()
    private var current: Answer? = null
    private val waiting = ArrayDeque<CallerRequest>()
    private var lastProgress = state.now()

    private var headStartedAt: Instant? = null

    /** Whether a part of a request has been read. */
    val isReading: Boolean get() = head != null || headStartedAt != null

    /** The first byte of a head has arrived. */
    fun headBegins(now: Instant) {
        headStartedAt = now
    }

    /** Whether a request is being served. */
    val isBusy: Boolean get() = current != null

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            lastProgress = state.now()
            if (message is HttpObject) read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        val failure = message.decoderResult().cause()
        if (failure != null) return rejectUnreadable(failure)
        if (message is HttpRequest) readHead(message)
        if (message is HttpContent) readBody(message)
    }

    private fun rejectUnreadable(failure: Throwable) = when (failure) {
        is TooLongHttpHeaderException, is TooLongHttpLineException -> reject(HEADERS_TOO_LARGE, "headers too large")
        else -> reject(BAD_REQUEST, failure.message ?: "not HTTP")
    }

    private fun readHead(request: HttpRequest) {
        headStartedAt = null
        val fault = RequestCheck.faultOf(request)
        if (fault != null) return reject(BAD_REQUEST, fault)
        head = request
        body.reset()
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
            )
        }
    }

    private fun readBody(content: HttpContent) {
        val request = head ?: return
        if (body.size() + content.content().readableBytes() > state.limits.bodyBytes) {
            return reject(BODY_TOO_LARGE, "body too large")
        }
        body.write(ByteBufUtil.getBytes(content.content()))
        if (content !is LastHttpContent) return
        head = null
        val whole = CallerRequest(
            method = request.method(),
            uri = request.uri(),
            headers = request.headers(),
            body = body.toByteArray(),
            keepsConnection = HttpUtil.isKeepAlive(request),
            receivedAt = state.now(),
        )
        if (current == null) serve(whole) else enqueue(whole)
    }

    private fun enqueue(request: CallerRequest) {
        waiting.addLast(request)
        if (waiting.size > MAXIMUM_WAITING) channel.config().isAutoRead = false
    }

    private fun serve(request: CallerRequest) {
        val answer = Answer(request)
        current = answer
        answer.gone = handler.serve(request, answer)
    }

    private fun reject(status: Int, reason: String) {
        head = null
        state.rejected(status, reason)
        if (current != null) {
            channel.close()
            return
        }
        writeWhole(
            FullResponse(ResponseHead(status, EmptyHttpHeaders.INSTANCE), reason.encodeToByteArray()),
            closes = true,
        )
    }

    private fun writeWhole(answer: FullResponse, closes: Boolean, isHead: Boolean = false) {
        val status = HttpResponseStatus.valueOf(answer.head.status)
        val content = Unpooled.wrappedBuffer(answer.body)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        HopByHopHeaders.copyEndToEnd(answer.head.headers, response.headers())
        val announced = answer.head.headers[HttpHeaderNames.CONTENT_LENGTH]
        when {
            isHead -> announced?.let { response.headers().set(HttpHeaderNames.CONTENT_LENGTH, it) }
            answer.head.status !in WITHOUT_BODY -> HttpUtil.setContentLength(response, answer.body.size.toLong())
        }
        if (closes) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val written = channel.writeAndFlush(response)
        if (closes) written.addListener(ChannelFutureListener.CLOSE)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        waiting.clear()
        current?.let {
            current = null
            it.gone?.callerDisconnected()
        }
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        // A reset by the caller; the connection's end tells everything that follows from it.
        context.close()
    }

    /** Closes the connection when the caller takes longer than the limits allow. */
    fun checkTime(now: Instant) {
        val limits = state.limits
        val started = headStartedAt
        when {
            started != null && head == null && now - started > limits.headerTimeout && current == null ->
                reject(REQUEST_TIMEOUT, "the head of the request took too long")

            head != null && now - lastProgress > limits.idleTimeout ->
                reject(REQUEST_TIMEOUT, "the body of the request took too long")

            current == null && head == null && started == null && now - lastProgress > limits.idleTimeout ->
                channel.close()
        }
    }

    /** Closes the connection if nothing is being read or served on it. */
    fun closeIfIdle() {
        if (current == null && head == null && headStartedAt == null) channel.close()
    }

    /** Reads nothing any more; answers that are under way can still be written. */
    fun stopReading() {
        channel.config().isAutoRead = false
    }

    private inner class Answer(private val request: CallerRequest) : ResponseWriter {
        var gone: CallerDisconnectListener? = null
        private var closes = !request.keepsConnection

        override val isOpen: Boolean get() = current === this

        override fun send(answer: FullResponse) {
            if (!isOpen) return
            val closing = closes || state.isDraining
            writeWhole(answer, closing, request.method == HttpMethod.HEAD)
            ended(closing)
        }

        override fun begin(head: ResponseHead) {
            if (!isOpen) return
            closes = closes || state.isDraining
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status))
            HopByHopHeaders.copyEndToEnd(head.headers, response.headers())
            HttpUtil.setTransferEncodingChunked(response, true)
            if (closes) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            channel.write(response)
        }

        override fun write(bytes: ByteArray) {
            if (isOpen) channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        }

        override fun finish() {
            if (!isOpen) return
            val written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            if (closes) written.addListener(ChannelFutureListener.CLOSE)
            ended(closes)
        }

        override fun abort() {
            if (!isOpen) return
            current = null
            channel.close()
        }

        private fun ended(closing: Boolean) {
            current = null
            lastProgress = state.now()
            if (closing) return
            val next = waiting.removeFirstOrNull() ?: return
            channel.config().isAutoRead = true
            channel.eventLoop().execute { serve(next) }
        }
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val REQUEST_TIMEOUT = 408
        const val BODY_TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431
        const val MAXIMUM_WAITING = 4
        val WITHOUT_BODY = setOf(204, 304)
    }
}
