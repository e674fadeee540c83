package org.bilberryhead.forwarding.http

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

    /** Whether bytes were received that belong to no decoded message yet. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val isFinal = (message as? HttpResponse)?.status()?.codeClass() != HttpStatusClass.INFORMATIONAL
        return (expectsNoBody && isFinal) || super.isContentAlwaysEmpty(message)
    }

    /** Returns how [response], the final one to the current request, states where its body ends. */
    fun framingOf(response: HttpResponse): BodyFraming = when {
        expectsNoBody || response.status().code() in STATUSES_WITHOUT_BODY -> BodyFraming.NO_BODY
        HttpUtil.isTransferEncodingChunked(response) -> BodyFraming.CHUNKS
        HttpUtil.isContentLengthSet(response) -> BodyFraming.LENGTH
        else -> BodyFraming.END_OF_CONNECTION
    }

    private companion object {
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
    }
}
