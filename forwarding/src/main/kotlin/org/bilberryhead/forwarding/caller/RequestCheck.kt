package org.bilberryhead.forwarding.caller

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ByteProcessor

private const val BAD_REQUEST = 400
private const val HEADERS_TOO_LARGE = 431

/** Detects requests whose end is ambiguous, which would allow request smuggling, or that lack a single Host header. */
internal object RequestCheck {
    /** Returns why [request] is rejected, or null when it is valid. */
    fun problemOf(request: HttpRequest): String? = when {
        request.protocolVersion() != HttpVersion.HTTP_1_1 && request.protocolVersion() != HttpVersion.HTTP_1_0 ->
            "not HTTP/1.1"

        !request.uri().startsWith("/") -> "the target is not a path"
        request.headers().getAll(HttpHeaderNames.HOST).size != 1 -> "not one Host header"
        hasUnsupportedEncoding(request) -> "not the one transfer encoding that is understood"
        else -> null
    }

    /** Returns the status with which a request is rejected that could not be decoded because of [failure]. */
    fun statusOf(failure: Throwable): Int = when (failure) {
        is TooLongHttpHeaderException, is TooLongHttpLineException -> HEADERS_TOO_LARGE
        else -> BAD_REQUEST
    }

    private fun hasUnsupportedEncoding(request: HttpRequest): Boolean {
        val encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return encodings.isNotEmpty() && (encodings.size > 1 || !encodings.single().trim().equals("chunked", true))
    }
}

/**
 * Decodes requests; rejects those that have both a Content-Length and a Transfer-Encoding header.
 *
 * @param maximumHeaderBytes maximum size of the request line, and of all headers of a request
 * @param onHeadStarted called when the first byte of a request head has arrived
 */
internal class StrictRequestDecoder(val maximumHeaderBytes: Int, private val onHeadStarted: () -> Unit = {}) :
    HttpRequestDecoder(maximumHeaderBytes, maximumHeaderBytes, MAXIMUM_CHUNK_BYTES) {
    /** Whether no part of a request has arrived after the last complete one. */
    var isBetweenRequests = true
        private set

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        // Empty lines between requests begin no head.
        if (isBetweenRequests && buffer.forEachByte(ByteProcessor.FIND_NON_CRLF) < 0) {
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        if (isBetweenRequests) onHeadStarted()
        isBetweenRequests = false
        val previousSize = out.size
        super.decode(context, buffer, out)
        if (out.drop(previousSize).any { it is LastHttpContent }) isBetweenRequests = true
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("both a length and a transfer encoding")
    }

    private companion object {
        const val MAXIMUM_CHUNK_BYTES = 16_384
    }
}
