package org.bilberryhead.forwarding.request

import io.netty.handler.codec.http.DefaultHttpHeaders
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.serving.RepeatRule
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.forwarding.http.HopByHopHeaders
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.platform.wire.WireHeaders
import org.bilberryhead.platform.wire.WireText
import kotlin.time.Instant

/** Builds the request to an endpoint from the request of a caller. */
internal object OutboundRequests {
    /**
     * Returns the request for [endpoint]: the caller's method, URI, body and end-to-end headers, and the headers that
     * are reserved to this system.
     *
     * @param inputs results of the preparation stages that the endpoint fetches
     * @param lastEventId id of the last event that was forwarded to the caller; null for a new stream
     */
    fun create(
        request: AdmittedRequest,
        endpoint: EndpointId,
        inputs: List<ResultHandle>,
        lastEventId: Long?,
        now: Instant,
    ): OutboundRequest {
        val callerRequest = request.callerRequest
        val headers = DefaultHttpHeaders()
        HopByHopHeaders.copyEndToEnd(callerRequest.headers, headers, WireHeaders.RESERVED)
        headers.set(WireHeaders.EXPECTED_ENDPOINT, endpoint.value)
        val deadline = request.callerDeadline?.let { minOf(it, request.deadline) } ?: request.deadline
        headers.set(WireHeaders.DEADLINE_MS, (deadline - now).inWholeMilliseconds.coerceAtLeast(1).toString())
        request.account?.let { headers.set(WireHeaders.CLIENT_ACCOUNT, checkNotNull(WireText.ofHeader(it.value))) }
        if (request.prompt != null) headers.set(WireHeaders.PRIORITY, request.priority.coerceIn(PRIORITIES).toString())
        if (request.route.stages.isNotEmpty()) headers.set(WireHeaders.INPUTS, inputs.joinToString(",") { it.value })
        if (request.route.repeatRule == RepeatRule.RESUMABLE_STREAM && lastEventId != null) {
            headers.set(WireHeaders.LAST_EVENT_ID, lastEventId.toString())
        }
        return OutboundRequest(callerRequest.method, callerRequest.uri, headers, callerRequest.body)
    }

    /** Range of [WireHeaders.PRIORITY]. */
    private val PRIORITIES = 0..9
}
