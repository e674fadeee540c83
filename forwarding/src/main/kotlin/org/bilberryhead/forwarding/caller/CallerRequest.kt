package org.bilberryhead.forwarding.caller

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.ResponseHead
import kotlin.time.Instant

/** A request of a caller, read completely. */
internal class CallerRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val keepsConnection: Boolean,
    val receivedAt: Instant,
) {
    /** The path of [uri] without the query. */
    val path: String get() = uri.substringBefore('?')

    /** Value of the Host header; empty when there is none. */
    val host: String get() = headers["Host"].orEmpty()
}

/** Writes the response to one request. Calls after the caller has disconnected have no effect. */
internal interface ResponseWriter {
    /** Whether the response is incomplete and the caller is still connected. */
    val isOpen: Boolean

    /** Sends a full response. */
    fun send(response: FullResponse)

    /** Starts a response whose body is sent in parts. */
    fun start(head: ResponseHead)

    /** Sends the next part of the body. */
    fun write(bytes: ByteArray)

    /** Completes a response that was sent in parts. */
    fun finish()

    /** Closes the connection, so that the caller sees the response as incomplete. */
    fun abort()
}

/** Serves requests that were read completely. */
internal fun interface RequestHandler {
    /** Serves [request]; returns the listener to call if the caller disconnects before the response is complete. */
    fun serve(request: CallerRequest, response: ResponseWriter): CallerDisconnectListener
}

/** Receives the notice that a caller has disconnected. */
internal fun interface CallerDisconnectListener {
    /** Handles the end of the caller's connection before the response was complete. */
    fun callerDisconnected()
}
