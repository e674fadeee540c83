package org.bilberryhead.forwarding.caller

import io.netty.handler.codec.http.DefaultHttpHeaders
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.platform.wire.HeaderValues
import org.bilberryhead.platform.wire.WireHeaders
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Error responses that this entry sends itself. None of them carries the signature of an endpoint. */
internal object LocalResponses {
    /** The request has not run and will not run; the caller may send it again after [retryAfter]. */
    fun notRun(requestId: String?, reason: String, retryAfter: Duration): FullResponse {
        val seconds = "%.2f".format(Locale.ROOT, retryAfter.toDouble(DurationUnit.SECONDS))
        return response(NOT_RUN, requestId, reason, WireHeaders.RETRY_AFTER to seconds)
    }

    /** The request may have run, but the endpoint sent no complete response. */
    fun unknown(requestId: String?, reason: String): FullResponse = response(UNKNOWN, requestId, reason)

    /** The request may have run, but no response came before its deadline. */
    fun timedOut(requestId: String?, reason: String): FullResponse = response(TIMED_OUT, requestId, reason)

    /** The request is invalid, not authorised, or matches no route. */
    fun rejected(status: Int, requestId: String?, reason: String): FullResponse = response(status, requestId, reason)

    /** Returns the time after which the endpoint that sent [response] accepts a retry; null when it states none. */
    fun retryAfter(response: FullResponse?): Duration? =
        HeaderValues.retryAfter(response?.head?.headers?.get(WireHeaders.RETRY_AFTER))

    private fun response(
        status: Int,
        requestId: String?,
        reason: String,
        vararg extraHeaders: Pair<String, String>,
    ): FullResponse {
        val headers = DefaultHttpHeaders().add("Content-Type", "text/plain")
        requestId?.let { headers.add(WireHeaders.REQUEST_ID, it) }
        extraHeaders.forEach { (name, value) -> headers.add(name, value) }
        return FullResponse(ResponseHead(status, headers), "$reason\n".encodeToByteArray())
    }

    private const val UNKNOWN = 502
    private const val NOT_RUN = 503
    private const val TIMED_OUT = 504
}
