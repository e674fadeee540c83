package org.bilberryhead.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPipeline
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.bilberryhead.core.serving.BodyFraming
import org.bilberryhead.core.serving.ByteEnd
import org.bilberryhead.core.serving.ResponseEnd
import org.bilberryhead.core.serving.ResponsePlace
import java.io.IOException
import java.nio.channels.ClosedChannelException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * One request on an [OutboundConnection], and the response to it. No call has an effect once the exchange has ended,
 * because the connection may carry another one by then.
 */
internal interface OutboundExchange {
    /** Reads no more of the response until [resumeReading] is called, so that the other process has to wait. */
    fun pauseReading()

    /** Reads on after [pauseReading]. */
    fun resumeReading()

    /** Closes the connection without notifying the listener of the exchange. */
    fun cancel()
}

/**
 * A connection to another process that carries one exchange at a time.
 *
 * A response with the id of another request is skipped, and the connection is not reused afterwards. Bytes that arrive
 * while no request is pending close the connection, as do bytes that go on without becoming part of the response, and
 * those that [ResponseSyntaxCheck] rejects.
 * As a response is matched by its id, a request whose id was sent on the connection before needs another connection.
 *
 * @param onUnexpectedFailure receives an exception that is neither an I/O error nor an invalid response
 */
internal class OutboundConnection(
    private val requestIdHeader: String,
    private val now: () -> Instant,
    private val onUnexpectedFailure: (Throwable) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private val decoder = ResponseDecoder()
    private val syntaxCheck = ResponseSyntaxCheck(decoder, ::rejectResponse)
    private var current: Exchange? = null
    private var expectedId: String? = null
    private var remainingBodyBytes = 0L
    private var bytesWithoutProgress = 0
    private var isSkippingResponse = false
    private var framing = BodyFraming.LENGTH
    private var failureReason: String? = null
    private var requestsBeingSent = 0

    /** Whether the response has ended with the other side of the connection while the request is still being sent. */
    private var isEndUncertain = false
    private var idleTimeout: Duration = DEFAULT_IDLE_TIMEOUT
    private val carriedIdHashes = mutableSetOf<Int>()

    /** Called when the connection closes, when an exchange on it has ended, and when it is released unused. */
    var onStateChange: () -> Unit = {}

    /** Called with the head of each response, after the listener of its exchange. */
    var onHeadReceived: (ResponseHead) -> Unit = {}

    /** Whether the connection can carry another exchange after the current one. */
    var isReusable = true
        private set

    /** When the last exchange ended. */
    var idleSince: Instant = now()
        private set

    /** Whether the connection is open. */
    val isOpen: Boolean get() = channel.isActive

    /** Whether an exchange may start at [at], well before the other side's idle timeout closes the connection. */
    fun isUsable(at: Instant): Boolean = isOpen && isReusable && at - idleSince < idleTimeout

    /**
     * Returns whether a request with [requestId] was sent on this connection, so that a late copy of its response could
     * be read as the response to another one with that id. May be true for an id that was not sent.
     */
    fun hasCarried(requestId: String): Boolean = requestId.hashCode() in carriedIdHashes

    /** Adds this connection and its codec to [pipeline]. */
    fun addTo(pipeline: ChannelPipeline) {
        pipeline.addLast(UnexpectedBytesCheck())
            .addLast(syntaxCheck)
            .addLast(decoder)
            .addLast(RequestEncoder())
            .addLast(this)
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /**
     * Sends [request] and returns the exchange; [listener] receives the response.
     *
     * @param requestId the id that the response must have, or null when responses have none
     * @param maximumBodyBytes the exchange fails when the body of the response is longer
     */
    fun send(
        request: OutboundRequest,
        requestId: String?,
        listener: ResponseListener,
        maximumBodyBytes: Long = MAXIMUM_BODY_BYTES,
    ): OutboundExchange {
        val exchange = Exchange(listener)
        if (!channel.isActive || !isReusable) {
            listener.exchangeFailed(ExchangeFailure.NotSent(CLOSED))
            return exchange
        }
        current = exchange
        expectedId = requestId
        remainingBodyBytes = maximumBodyBytes
        bytesWithoutProgress = 0
        decoder.expectsNoBody = request.method == HttpMethod.HEAD
        if (request.method == HttpMethod.HEAD) isReusable = false
        requestId?.let { carriedIdHashes += it.hashCode() }
        if (carriedIdHashes.size >= MAXIMUM_CARRIED_IDS) isReusable = false
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method,
            request.uri,
            request.body.toSend(),
            request.headers,
            EmptyHttpHeaders.INSTANCE,
        )
        if (request.body.size > 0 || request.method == HttpMethod.POST || request.method == HttpMethod.PUT) {
            HttpUtil.setContentLength(message, request.body.size.toLong())
        }
        requestsBeingSent++
        setHalfClosureAllowed(true)
        channel.writeAndFlush(message).addListener { requestSent(it.cause()) }
        return exchange
    }

    /**
     * Sets whether sending goes on once the other process has ended its side. Only that tells whether the process has
     * read the request, or has reset the connection, which no longer shows when reading.
     */
    private fun setHalfClosureAllowed(isAllowed: Boolean) {
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, isAllowed)
    }

    /**
     * The request is sent, or could not be because of [cause]. A connection that breaks while it is being sent may
     * close without an error of reading. An exception for a closed channel says that this side has closed it.
     */
    private fun requestSent(cause: Throwable?) {
        requestsBeingSent--
        if (requestsBeingSent == 0) setHalfClosureAllowed(false)
        if (cause != null && cause !is ClosedChannelException) failureReason = failureReason ?: describe(cause)
        if (isEndUncertain) current?.let(::complete)
    }

    private fun describe(cause: Throwable): String = cause.message ?: cause.javaClass.simpleName

    /** Notifies the owner that the connection is available again although it carried no exchange. */
    fun release() = onStateChange()

    /** Closes the connection without notifying the listener of the exchange. */
    fun close() {
        current = null
        isReusable = false
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject) read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        val decoderFailure = message.decoderResult().cause()
        if (decoderFailure != null) return rejectResponse("the answer is not HTTP: ${describe(decoderFailure)}")
        if (message is HttpResponse) readHead(message)
        if (message is HttpContent) readContent(message)
    }

    /** Ends the exchange because what arrived for it is no response; without one nothing is expected. */
    private fun rejectResponse(reason: String) = if (current == null) close() else fail(reason)

    private fun readHead(response: HttpResponse) {
        val activeListener = current?.listener
        if (activeListener == null) {
            close()
            return
        }
        val problem = problemOf(response)
        when {
            problem != null -> fail(problem)
            response.status().code() in INFORMATIONAL_STATUSES -> isSkippingResponse = true
            isToOtherRequest(response) -> {
                isSkippingResponse = true
                isReusable = false
            }

            else -> {
                readConnectionHeaders(response)
                bytesWithoutProgress = 0
                val head = ResponseHead(response.status().code(), response.headers(), framing)
                activeListener.headReceived(head)
                onHeadReceived(head)
            }
        }
    }

    private fun problemOf(response: HttpResponse): String? = when {
        response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS -> "the protocol was switched"
        response.status().code() in INFORMATIONAL_STATUSES -> null
        // Without an id it may be a late response to an earlier request.
        expectedId != null && requestIdHeader !in response.headers() -> "an answer without a request id"
        !hasKnownTransferEncoding(response) -> "the transfer encoding is unknown"
        else -> null
    }

    private fun isToOtherRequest(response: HttpResponse): Boolean =
        expectedId != null && response.headers()[requestIdHeader] != expectedId

    /** Returns whether the body is sent as it is, or in chunks once. */
    private fun hasKnownTransferEncoding(response: HttpResponse): Boolean {
        val encodings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return encodings.isEmpty() ||
            encodings.singleOrNull()?.trim().equals(HttpHeaderValues.CHUNKED.toString(), ignoreCase = true)
    }

    private fun readConnectionHeaders(response: HttpResponse) {
        framing = decoder.bodyFraming
        if (!HttpUtil.isKeepAlive(response) || framing == BodyFraming.END_OF_CONNECTION) isReusable = false
        val seconds = response.headers()[KEEP_ALIVE_HEADER]?.let { TIMEOUT_PARAMETER.find(it)?.groupValues?.get(1) }
        idleTimeout = seconds?.toLongOrNull()?.let { it.seconds * IDLE_TIMEOUT_FRACTION } ?: DEFAULT_IDLE_TIMEOUT
    }

    private fun readContent(content: HttpContent) {
        if (isSkippingResponse) {
            if (content is LastHttpContent) isSkippingResponse = false
            return
        }
        val exchange = current ?: return
        val length = content.content().readableBytes()
        remainingBodyBytes -= length
        if (remainingBodyBytes < 0) return fail("the body of the answer is too long")
        if (length > 0) {
            bytesWithoutProgress = 0
            exchange.listener.bodyPartReceived(ByteBufUtil.getBytes(content.content()))
        }
        // The listener may have closed the connection while it handled the body.
        if (content is LastHttpContent && current === exchange) complete(exchange)
    }

    private fun complete(exchange: Exchange) {
        val endsWithConnection = framing == BodyFraming.END_OF_CONNECTION
        isEndUncertain = endsWithConnection && requestsBeingSent > 0 && failureReason == null
        if (isEndUncertain) return
        val end = when {
            !endsWithConnection -> ByteEnd.ANNOUNCED
            failureReason == null -> ByteEnd.CLOSE
            else -> ByteEnd.RESET
        }
        if (!ResponseEnd.isWhole(framing, ResponsePlace.AFTER_HEAD, end)) return fail(failureReason ?: CLOSED)
        // Bytes after the response would be read as the beginning of the next one.
        if (syntaxCheck.hasUnreadBytes) isReusable = false
        exchange.resumeReading()
        current = null
        idleSince = now()
        if (!isReusable) channel.close()
        exchange.listener.responseCompleted()
        onStateChange()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        failureReason = describe(cause)
        if (cause !is IOException && cause !is DecoderException) onUnexpectedFailure(cause)
        context.close()
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        // The other process has ended its side; what it had sent is read by now.
        if (event is ChannelInputShutdownEvent && !isEndUncertain) channel.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        isReusable = false
        fail(failureReason ?: CLOSED)
    }

    private fun fail(reason: String) {
        isReusable = false
        val failedExchange = current
        current = null
        if (channel.isOpen) channel.close()
        failedExchange?.listener?.exchangeFailed(ExchangeFailure.Broken(reason))
        onStateChange()
    }

    private inner class Exchange(val listener: ResponseListener) : OutboundExchange {
        private val isCurrent: Boolean get() = current === this

        override fun pauseReading() {
            if (isCurrent) channel.config().isAutoRead = false
        }

        override fun resumeReading() {
            if (isCurrent) channel.config().isAutoRead = true
        }

        override fun cancel() {
            if (isCurrent) close()
        }
    }

    /** Limits the bytes that the other process sends without completing a head or sending a part of the body. */
    private inner class UnexpectedBytesCheck : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            val length = (message as? ByteBuf)?.readableBytes() ?: 0
            bytesWithoutProgress += length
            if (current != null && bytesWithoutProgress <= MAXIMUM_BYTES_WITHOUT_PROGRESS) {
                super.channelRead(context, message)
                return
            }
            ReferenceCountUtil.release(message)
            if (current == null) close() else fail("the answer does not begin")
        }
    }

    private companion object {
        val INFORMATIONAL_STATUSES = 100..199
        const val CLOSED = "the connection was closed"
        const val MAXIMUM_BODY_BYTES = 4L * 1024 * 1024

        /** Leaves room for interim responses and for a late response to an earlier request, which is skipped. */
        const val MAXIMUM_BYTES_WITHOUT_PROGRESS = 1024 * 1024

        /** Number of requests after which a connection is closed, which bounds the memory for their ids. */
        const val MAXIMUM_CARRIED_IDS = 500
        const val KEEP_ALIVE_HEADER = "Keep-Alive"
        val TIMEOUT_PARAMETER = Regex("""timeout=(\d+)""")
        val DEFAULT_IDLE_TIMEOUT = 4.seconds

        /** Fraction of the other side's idle timeout after which a connection is no longer used. */
        const val IDLE_TIMEOUT_FRACTION = 0.7
    }
}
