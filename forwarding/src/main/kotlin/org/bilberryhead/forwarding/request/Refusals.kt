package org.bilberryhead.forwarding.request

import io.netty.handler.codec.http.DefaultHttpHeaders
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.platform.wire.WireHeaders
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Answers of this entry's own. None of them bears an endpoint's signature. */
internal object Refusals {
    /** The request has not run and will not; the caller may come back after [retryAfter]. */
    fun notRun(requestId: String?, reason: String, retryAfter: Duration): FullResponse {
        val seconds = "%.2f".format(Locale.ROOT, retryAfter.toDouble(DurationUnit.SECONDS))
        return answer(NOT_RUN, requestId, reason, WireHeaders.RETRY_AFTER to seconds)
    }

    /** The request may have run; the endpoint gave no whole answer. */
    fun unknown(requestId: String?, reason: String): FullResponse = answer(UNKNOWN, requestId, reason)

    /** The request may have run; its time is over. */
    fun timedOut(requestId: String?, reason: String): FullResponse = answer(TIMED_OUT, requestId, reason)

    /** The request is not allowed, or names nothing that exists. */
    fun rejected(status: Int, requestId: String?, reason: String): FullResponse = answer(status, requestId, reason)

    /** The time to come back that an endpoint gave, or null. */
    fun retryAfter(answer: FullResponse?): Duration? =
        answer?.head?.headers?.get(WireHeaders.RETRY_AFTER)?.toDoubleOrNull()?.seconds

    private fun answer(
        status: Int,
        requestId: String?,
        reason: String,
        vararg fields: Pair<String, String>,
    ): FullResponse {
        val headers = DefaultHttpHeaders().add("Content-Type", "text/plain")
        requestId?.let { headers.add(WireHeaders.REQUEST_ID, it) }
        fields.forEach { (name, value) -> headers.add(name, value) }
        return FullResponse(ResponseHead(status, headers), "$reason\n".encodeToByteArray())
    }

    private const val UNKNOWN = 502
    private const val NOT_RUN = 503
    private const val TIMED_OUT = 504
}
