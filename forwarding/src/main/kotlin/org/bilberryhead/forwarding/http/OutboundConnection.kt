package org.bilberryhead.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * A connection to another process that carries one exchange at a time.
 *
 * A response with the id of another request is skipped, and the connection is not reused afterwards. A response that
 * arrives while no request is pending closes the connection.
 */
internal class OutboundConnection(private val requestIdHeader: String, private val now: () -> Instant) :
    ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var listener: ResponseListener? = null
    private var expectedId: String? = null
    private var isSkippingResponse = false
    private var bodyEndsAtClose = false
    private var failureReason: String? = null
    private var idleTimeout: Duration = DEFAULT_IDLE_TIMEOUT

    /** Called when the connection closes, when an exchange on it has ended, and when it is released unused. */
    var onStateChange: () -> Unit = {}

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

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /**
     * Sends [request]; [listener] receives the response.
     *
     * @param requestId the id that the response must have, or null when responses have none
     */
    fun send(request: OutboundRequest, requestId: String?, listener: ResponseListener) {
        if (!channel.isActive || !isReusable) {
            listener.exchangeFailed(ExchangeFailure.NotSent("the connection was closed"))
            return
        }
        this.listener = listener
        expectedId = requestId
        if (request.method == HttpMethod.HEAD) isReusable = false
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method,
            request.uri,
            Unpooled.wrappedBuffer(request.body),
            request.headers,
            EmptyHttpHeaders.INSTANCE,
        )
        if (request.body.isNotEmpty() || request.method == HttpMethod.POST || request.method == HttpMethod.PUT) {
            HttpUtil.setContentLength(message, request.body.size.toLong())
        }
        channel.writeAndFlush(message)
    }

    /** Notifies the owner that the connection is available again although it carried no exchange. */
    fun release() = onStateChange()

    /** Closes the connection without notifying the listener of the exchange. */
    fun close() {
        listener = null
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
        if (message.decoderResult().isFailure) return fail("the answer is not HTTP")
        if (message is HttpResponse) readHead(message)
        if (message is HttpContent) readContent(message)
    }

    private fun readHead(response: HttpResponse) {
        val activeListener = listener
        if (activeListener == null) {
            close()
            return
        }
        if (response.status().code() in INFORMATIONAL_STATUSES) {
            isSkippingResponse = true
            return
        }
        val id = response.headers()[requestIdHeader]
        if (expectedId != null && id != expectedId) {
            // Without an id it may be a late response to an earlier request.
            if (id == null) return fail("an answer without a request id")
            isSkippingResponse = true
            isReusable = false
            return
        }
        readConnectionHeaders(response)
        activeListener.headReceived(ResponseHead(response.status().code(), response.headers()))
    }

    private fun readConnectionHeaders(response: HttpResponse) {
        bodyEndsAtClose = !HttpUtil.isContentLengthSet(response) &&
            !HttpUtil.isTransferEncodingChunked(response) &&
            response.status().code() !in STATUSES_WITHOUT_BODY
        if (!HttpUtil.isKeepAlive(response) || bodyEndsAtClose) isReusable = false
        val seconds = response.headers()[KEEP_ALIVE_HEADER]?.let { TIMEOUT_PARAMETER.find(it)?.groupValues?.get(1) }
        idleTimeout = seconds?.toLongOrNull()?.let { it.seconds * IDLE_TIMEOUT_FRACTION } ?: DEFAULT_IDLE_TIMEOUT
    }

    private fun readContent(content: HttpContent) {
        if (isSkippingResponse) {
            if (content is LastHttpContent) isSkippingResponse = false
            return
        }
        val activeListener = listener ?: return
        if (content.content().isReadable) activeListener.bodyPartReceived(bytesOf(content.content()))
        // The listener may have closed the connection while it handled the body.
        if (content is LastHttpContent && listener === activeListener) complete(activeListener)
    }

    private fun complete(activeListener: ResponseListener) {
        val reason = failureReason
        if (bodyEndsAtClose && reason != null) return fail(reason)
        listener = null
        idleSince = now()
        if (!isReusable) channel.close()
        activeListener.responseCompleted()
        onStateChange()
    }

    private fun bytesOf(buffer: ByteBuf): ByteArray = ByteBufUtil.getBytes(buffer)

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        failureReason = cause.message ?: cause.javaClass.simpleName
        context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        isReusable = false
        fail(failureReason ?: "the connection was closed")
    }

    private fun fail(reason: String) {
        isReusable = false
        val activeListener = listener
        listener = null
        if (channel.isOpen) channel.close()
        activeListener?.exchangeFailed(ExchangeFailure.Broken(reason))
        onStateChange()
    }

    private companion object {
        val INFORMATIONAL_STATUSES = 100..199
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
        const val KEEP_ALIVE_HEADER = "Keep-Alive"
        val TIMEOUT_PARAMETER = Regex("""timeout=(\d+)""")
        val DEFAULT_IDLE_TIMEOUT = 4.seconds

        /** Fraction of the other side's idle timeout after which a connection is no longer used. */
        const val IDLE_TIMEOUT_FRACTION = 0.7
    }
}
