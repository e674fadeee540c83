package org.bilberryhead.forwarding.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.serving.BodyFraming

/** A request to another process, with its full body. */
internal class OutboundRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: RequestBody,
) {
    constructor(method: HttpMethod, uri: String, headers: HttpHeaders, body: ByteArray) :
        this(method, uri, headers, RequestBody.of(body))
}

/** Status and headers of a response; [framing] states where the body of a response that was received ends. */
internal class ResponseHead(val status: Int, val headers: HttpHeaders, val framing: BodyFraming = BodyFraming.LENGTH)

/** A response with its full body. */
internal class FullResponse(val head: ResponseHead, val body: ByteArray) {
    /** The body as text. */
    val text: String get() = body.decodeToString()
}

/** Why an exchange ended without a complete response. */
internal sealed interface ExchangeFailure {
    /** No byte of the request was written. */
    data class NotSent(val reason: String) : ExchangeFailure

    /** The connection failed after the request was sent, or the response is incomplete or invalid. */
    data class Broken(val reason: String) : ExchangeFailure
}

/** Receives the response to one request as it arrives. */
internal interface ResponseListener {
    /** The status and headers have arrived. */
    fun headReceived(head: ResponseHead)

    /** The next part of the body has arrived. */
    fun bodyPartReceived(bytes: ByteArray)

    /** The response is whole, as far as its framing tells. */
    fun responseCompleted()

    /** The exchange failed; no complete response follows. */
    fun exchangeFailed(failure: ExchangeFailure)
}
