package org.bilberryhead.forwarding.request

import io.netty.handler.codec.http.DefaultHttpHeaders
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.serving.RepeatRule
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.forwarding.http.HopByHopHeaders
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.platform.wire.WireHeaders
import kotlin.time.Instant

/** Makes the request that an endpoint gets from the one that a caller sent. */
internal object OutboundRequests {
    /**
     * Returns what is sent to [endpoint].
     *
     * @param inputs results that the request reads
     * @param lastEventId the last event that the caller has, when a stream is resumed
     */
    fun of(
        request: AdmittedRequest,
        endpoint: EndpointId,
        inputs: List<ResultHandle>,
        lastEventId: Long?,
        now: Instant,
    ): OutboundRequest {
        val caller = request.caller
        val headers = DefaultHttpHeaders()
        HopByHopHeaders.copyEndToEnd(caller.headers, headers, WireHeaders.RESERVED)
        headers.set(WireHeaders.EXPECTED_ENDPOINT, endpoint.value)
        val end = request.deadline?.let { minOf(it, request.endsAt) } ?: request.endsAt
        headers.set(WireHeaders.DEADLINE_MS, (end - now).inWholeMilliseconds.coerceAtLeast(1).toString())
        request.account?.let { headers.set(WireHeaders.CLIENT_ACCOUNT, it.value) }
        if (request.prompt != null) headers.set(WireHeaders.PRIORITY, request.priority.coerceIn(PRIORITIES).toString())
        if (request.route.stages.isNotEmpty()) headers.set(WireHeaders.INPUTS, inputs.joinToString(",") { it.value })
        if (request.route.repeatRule == RepeatRule.RESUMABLE_STREAM && lastEventId != null) {
            headers.set(WireHeaders.LAST_EVENT_ID, lastEventId.toString())
        }
        return OutboundRequest(caller.method, caller.uri, headers, caller.body)
    }

    private val PRIORITIES = 0..9
}
