package org.bilberryhead.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import org.bilberryhead.core.serving.BodyFraming

/** Decodes the responses of one connection. */
internal class ResponseDecoder : HttpResponseDecoder() {
    /** Whether the next response is one to a HEAD request, which has no body whatever its headers say. */
    var expectsNoBody = false

    /** How the last decoded head, an interim one too, states where its body ends. */
    var bodyFraming = BodyFraming.NO_BODY
        private set

    /** Length in bytes of the body of the last decoded head; null when the head does not state it. */
    var bodyLength: Long? = null
        private set

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decode(context, buffer, out)
        out.forEach { if (it is HttpResponse && it.decoderResult().isSuccess) recordBody(it) }
    }

    private fun recordBody(response: HttpResponse) {
        bodyFraming = framingOf(response)
        bodyLength = when (bodyFraming) {
            BodyFraming.NO_BODY -> 0
            BodyFraming.LENGTH -> HttpUtil.getContentLength(response)
            BodyFraming.CHUNKS, BodyFraming.END_OF_CONNECTION -> null
        }
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val isFinal = (message as? HttpResponse)?.let { !isInterim(it) } ?: true
        return (expectsNoBody && isFinal) || super.isContentAlwaysEmpty(message)
    }

    /** Returns how [response] states where its body ends. */
    private fun framingOf(response: HttpResponse): BodyFraming = when {
        isInterim(response) || expectsNoBody -> BodyFraming.NO_BODY
        response.status().code() in STATUSES_WITHOUT_BODY -> BodyFraming.NO_BODY
        HttpUtil.isTransferEncodingChunked(response) -> BodyFraming.CHUNKS
        HttpUtil.isContentLengthSet(response) -> BodyFraming.LENGTH
        else -> BodyFraming.END_OF_CONNECTION
    }

    private fun isInterim(response: HttpResponse) = response.status().codeClass() == HttpStatusClass.INFORMATIONAL

    private companion object {
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
    }
}
