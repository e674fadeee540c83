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
 * One connection to another process, with one exchange at a time.
 *
 * Answers that bear the id of another request are skipped; a connection on which one came is not used again. Bytes that
 * no request asked for close the connection.
 */
internal class OutboundConnection(private val idHeader: String, private val now: () -> Instant) :
    ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var listener: ResponseListener? = null
    private var expectedId: String? = null
    private var isSkipping = false
    private var endsWithConnection = false
    private var brokenBy: String? = null
    private var keepAlive: Duration = DEFAULT_KEEP_ALIVE

    /** Called when the connection is closed, and when an exchange on it has ended. */
    var onStateChange: () -> Unit = {}

    /** Whether another exchange may follow. */
    var isReusable = true
        private set

    /** When the last exchange ended. */
    var idleSince: Instant = now()
        private set

    /** Whether the connection is open. */
    val isOpen: Boolean get() = channel.isActive

    /** Whether another exchange may begin: the other side is not about to close the connection for being idle. */
    fun isUsable(at: Instant): Boolean = isOpen && isReusable && at - idleSince < keepAlive

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /**
     * Sends [request]; [listener] hears of the answer.
     *
     * @param requestId the id that the answer must bear, or null when answers bear none
     */
    fun send(request: OutboundRequest, requestId: String?, listener: ResponseListener) {
        if (!channel.isActive || !isReusable) {
            listener.failed(ExchangeFailure.NotSent("the connection was closed"))
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

    /** Gives the connection back without an exchange. */
    fun release() = onStateChange()

    /** Closes the connection; nobody hears of it. */
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
        val current = listener
        if (current == null) {
            close()
            return
        }
        if (response.status().code() in INFORMATIONAL) {
            isSkipping = true
            return
        }
        val id = response.headers()[idHeader]
        if (expectedId != null && id != expectedId) {
            // Without an id it may be the answer to an earlier request as well as to this one.
            if (id == null) return fail("an answer without a request id")
            isSkipping = true
            isReusable = false
            return
        }
        takeConnectionHeaders(response)
        current.head(ResponseHead(response.status().code(), response.headers()))
    }

    private fun takeConnectionHeaders(response: HttpResponse) {
        endsWithConnection = !HttpUtil.isContentLengthSet(response) &&
            !HttpUtil.isTransferEncodingChunked(response) &&
            response.status().code() !in WITHOUT_BODY
        if (!HttpUtil.isKeepAlive(response) || endsWithConnection) isReusable = false
        val seconds = response.headers()[KEEP_ALIVE]?.let { TIMEOUT.find(it)?.groupValues?.get(1) }
        keepAlive = seconds?.toLongOrNull()?.let { it.seconds * SAFE_PART } ?: DEFAULT_KEEP_ALIVE
    }

    private fun readContent(content: HttpContent) {
        if (isSkipping) {
            if (content is LastHttpContent) isSkipping = false
            return
        }
        val current = listener ?: return
        if (content.content().isReadable) current.body(bytesOf(content.content()))
        // The listener may have closed the connection while it took the body.
        if (content is LastHttpContent && listener === current) complete(current)
    }

    private fun complete(current: ResponseListener) {
        val broken = brokenBy
        if (endsWithConnection && broken != null) return fail(broken)
        listener = null
        idleSince = now()
        if (!isReusable) channel.close()
        current.end()
        onStateChange()
    }

    private fun bytesOf(buffer: ByteBuf): ByteArray = ByteBufUtil.getBytes(buffer)

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        brokenBy = cause.message ?: cause.javaClass.simpleName
        context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        isReusable = false
        fail(brokenBy ?: "the connection was closed")
    }

    private fun fail(reason: String) {
        isReusable = false
        val current = listener
        listener = null
        if (channel.isOpen) channel.close()
        current?.failed(ExchangeFailure.Broken(reason))
        onStateChange()
    }

    private companion object {
        val INFORMATIONAL = 100..199
        val WITHOUT_BODY = setOf(204, 304)
        const val KEEP_ALIVE = "Keep-Alive"
        val TIMEOUT = Regex("""timeout=(\d+)""")
        val DEFAULT_KEEP_ALIVE = 4.seconds

        /** Part of the announced idle time after which a connection is not used any more. */
        const val SAFE_PART = 0.7
    }
}
