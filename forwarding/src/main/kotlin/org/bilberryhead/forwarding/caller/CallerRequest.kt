package org.bilberryhead.forwarding.caller

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.http.FullResponse
import kotlin.time.Instant

/** A whole request of a caller. */
internal class CallerRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val keepsConnection: Boolean,
    val receivedAt: Instant,
) {
    /** The path without the query. */
    val path: String get() = uri.substringBefore('?')

    /** The host that the caller asked for. */
    val host: String get() = headers["Host"].orEmpty()
}

/** Where the answer to one request goes. Calls after the caller has left have no effect. */
internal interface ResponseWriter {
    /** Whether the caller still waits. */
    val isOpen: Boolean

    /** Sends a whole answer. */
    fun send(response: FullResponse)

    /** Begins an answer that comes in parts. */
    fun begin(head: ResponseHead)

    /** Sends the next part. */
    fun write(bytes: ByteArray)

    /** Ends an answer that came in parts as complete. */
    fun finish()

    /** Ends an answer as incomplete, by closing the connection. */
    fun abort()
}

/** Serves whole requests of callers. */
internal fun interface RequestHandler {
    /** Serves [request]; returns what is done when the caller leaves before the answer is complete. */
    fun serve(request: CallerRequest, response: ResponseWriter): CallerDisconnectListener
}

/** Hears that a caller has left. */
internal fun interface CallerDisconnectListener {
    /** The caller has closed its connection. */
    fun callerDisconnected()
}
