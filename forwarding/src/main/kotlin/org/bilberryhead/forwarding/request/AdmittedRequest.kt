package org.bilberryhead.forwarding.request

import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.serving.Prompt
import org.bilberryhead.core.serving.PromptPartId
import org.bilberryhead.core.serving.RepeatRule
import org.bilberryhead.core.serving.ServingRoute
import org.bilberryhead.forwarding.caller.CallerRequest
import org.bilberryhead.platform.wire.WireHeaders
import kotlin.time.Instant

/**
 * A caller's request whose route and client account are known.
 *
 * @property pool the pool whose endpoints run the request
 * @property account the client account of the caller; null for a caller without one
 * @property priority a lower number is more urgent
 * @property prompt sizes and parts of the prompt; null when the request has none
 * @property sharedParts ids of the parts of the prompt that other requests may share
 * @property callerDeadline the deadline that the caller sent, or null
 * @property configurationVersion version of the configuration by which the request was routed
 */
internal class AdmittedRequest(
    val id: RequestId,
    val callerRequest: CallerRequest,
    val route: ServingRoute,
    val pool: PoolName,
    val account: ClientAccount?,
    val priority: Int,
    val prompt: Prompt?,
    val sharedParts: List<PromptPartId>,
    val callerDeadline: Instant?,
    val configurationVersion: Long,
) {
    /** When the request must have its final response: the earlier of the route's timeout and [callerDeadline]. */
    val deadline: Instant = (callerRequest.receivedAt + route.timeout)
        .let { timeoutAt -> callerDeadline?.let { minOf(it, timeoutAt) } ?: timeoutAt }

    /** The last event that the caller received of a stream that it resumes; null when it starts a new stream. */
    val lastEventId: Long? = callerRequest.headers[WireHeaders.LAST_EVENT_ID]?.trim()?.toLongOrNull()
        ?.takeIf { route.repeatRule == RepeatRule.RESUMABLE_STREAM }
}
