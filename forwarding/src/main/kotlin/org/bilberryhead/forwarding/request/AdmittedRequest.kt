package org.bilberryhead.forwarding.request

import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.serving.Prompt
import org.bilberryhead.core.serving.RepeatRule
import org.bilberryhead.core.serving.ServingRoute
import org.bilberryhead.forwarding.caller.CallerRequest
import org.bilberryhead.platform.wire.WireHeaders
import kotlin.time.Instant

/** A request whose route and account are known. */
internal class AdmittedRequest(
    val id: RequestId,
    val caller: CallerRequest,
    val route: ServingRoute,
    val pool: PoolName,
    val account: ClientAccount?,
    val priority: Int,
    val prompt: Prompt?,
    val deadline: Instant?,
    val configurationVersion: Long,
) {
    /** When the request must have its final answer. */
    val endsAt: Instant = (caller.receivedAt + route.timeout).let { end -> deadline?.let { minOf(it, end) } ?: end }

    /** The last event that the caller has of a stream that it resumes; null when it begins one. */
    val lastEventId: Long? = caller.headers[WireHeaders.LAST_EVENT_ID]?.trim()?.toLongOrNull()
        ?.takeIf { route.repeatRule == RepeatRule.RESUMABLE_STREAM }
}
