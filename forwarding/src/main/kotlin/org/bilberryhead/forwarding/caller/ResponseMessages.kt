package org.bilberryhead.forwarding.caller

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.HopByHopHeaders
import org.bilberryhead.forwarding.http.ResponseHead

/** Builds the messages of responses to callers, framed as the method of the request and the status call for. */
internal object ResponseMessages {
    private val statusesWithoutBody = setOf(204, 205, 304)

    /**
     * Returns the message of a [response] to a request with [method].
     *
     * @param method null when the request was not read far enough to tell
     * @param closes whether the connection closes after the response
     */
    fun full(response: FullResponse, method: HttpMethod?, closes: Boolean): FullHttpResponse {
        val status = response.head.status
        val hasBody = method != HttpMethod.HEAD && status !in statusesWithoutBody
        val content = if (hasBody) Unpooled.wrappedBuffer(response.body) else Unpooled.EMPTY_BUFFER
        val message = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
        addHeaders(message, response.head, closes)
        when {
            hasBody -> HttpUtil.setContentLength(message, response.body.size.toLong())
            status !in statusesWithoutBody -> setLengthOfOmittedBody(message, response)
        }
        return message
    }

    /** Returns the head of a response whose body is sent in parts. */
    fun chunkedHead(head: ResponseHead, closes: Boolean): HttpResponse {
        val message = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status))
        addHeaders(message, head, closes)
        HttpUtil.setTransferEncodingChunked(message, true)
        return message
    }

    /** An endpoint that omits the body as well may say its length in the head only, or not at all. */
    private fun setLengthOfOmittedBody(message: HttpMessage, response: FullResponse) {
        val length = response.head.headers[HttpHeaderNames.CONTENT_LENGTH]
            ?: response.body.size.takeIf { it > 0 }?.toString()
        length?.let { message.headers().set(HttpHeaderNames.CONTENT_LENGTH, it) }
    }

    private fun addHeaders(message: HttpMessage, head: ResponseHead, closes: Boolean) {
        HopByHopHeaders.copyEndToEnd(head.headers, message.headers())
        if (closes) message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }
}
