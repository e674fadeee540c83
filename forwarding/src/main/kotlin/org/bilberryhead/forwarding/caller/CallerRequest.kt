package org.bilberryhead.forwarding.caller

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.memory.BodyClaim
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.RequestBody
import org.bilberryhead.forwarding.http.ResponseHead
import kotlin.time.Instant

/** A request of a caller, read completely. */
internal class CallerRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: RequestBody,
    val keepsConnection: Boolean,
    val receivedAt: Instant,
    private val bodyClaim: BodyClaim? = null,
) {
    /** Returns the memory that is reserved for [body]; to be called when the request has ended. */
    fun release() = bodyClaim?.release()

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

    /** Whether so much of the response waits to be sent that the next part should wait for [CallerListener]. */
    val isCongested: Boolean

    /** Sends the next part of the body. */
    fun write(bytes: ByteArray)

    /** Completes a response that was sent in parts. */
    fun finish()

    /** Closes the connection, so that the caller sees the response as incomplete. */
    fun abort()

    /** Calls [action] when all that was written has been sent, or the connection closes before. */
    fun whenSent(action: () -> Unit) = action()
}

/** Serves requests that were read completely. */
internal fun interface RequestHandler {
    /** Serves [request]; returns the listener for what the caller does before the response is complete. */
    fun serve(request: CallerRequest, response: ResponseWriter): CallerListener
}

/** Receives what the caller does before the response is complete. */
internal fun interface CallerListener {
    /** Handles the end of the caller's connection. */
    fun callerDisconnected()

    /** The response is no longer congested: the caller has received most of what was written. */
    fun callerCaughtUp() = Unit
}
