package org.bilberryhead.forwarding.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** A whole request that is sent to another process. */
internal class OutboundRequest(val method: HttpMethod, val uri: String, val headers: HttpHeaders, val body: ByteArray)

/** Status and headers of an answer. */
internal class ResponseHead(val status: Int, val headers: HttpHeaders)

/** A whole answer. */
internal class FullResponse(val head: ResponseHead, val body: ByteArray) {
    /** The body as text. */
    val text: String get() = body.decodeToString()
}

/** Why an exchange ended without a whole answer. */
internal sealed interface ExchangeFailure {
    /** No byte of the request was written. */
    data class NotSent(val reason: String) : ExchangeFailure

    /** The connection broke, or what came is no whole answer. */
    data class Broken(val reason: String) : ExchangeFailure
}

/** Takes the answer to one request as it arrives. */
internal interface ResponseListener {
    /** The answer begins. */
    fun head(head: ResponseHead)

    /** The next part of the body. */
    fun body(bytes: ByteArray)

    /** The answer is complete. */
    fun end()

    /** There will be no complete answer. */
    fun failed(failure: ExchangeFailure)
}
