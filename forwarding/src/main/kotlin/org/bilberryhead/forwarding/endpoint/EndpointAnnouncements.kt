package org.bilberryhead.forwarding.endpoint

import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.serving.EndpointChange
import org.bilberryhead.core.serving.EndpointDirectory
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.platform.wire.HeaderValues
import org.bilberryhead.platform.wire.WireHeaders

/**
 * Follows what endpoints say about themselves in the heads of their responses, to requests of any kind.
 *
 * @param apply applies changes of the directory
 * @param onRest called when an endpoint of a pool begins to rest, or rests for longer
 */
internal class EndpointAnnouncements(
    private val directory: EndpointDirectory,
    private val endpoints: Endpoints,
    private val thread: EventThread,
    private val decisions: DecisionLog,
    private val apply: (List<EndpointChange>) -> Unit,
    private val onRest: (PoolName) -> Unit,
) {
    /** Reads [head], the head of a response to a request that was meant for the endpoint of [entry]. */
    fun headReceived(entry: EndpointEntry, head: ResponseHead) {
        val retryAfter = head.headers[WireHeaders.RETRY_AFTER]
        if (head.status == UNAVAILABLE && retryAfter != null) recordRest(entry, retryAfter)
        if (HeaderValues.isLeaving(head.headers[WireHeaders.LEAVING])) recordLeaving(entry, head)
    }

    private fun recordRest(entry: EndpointEntry, retryAfter: String) {
        val period = HeaderValues.restPeriod(retryAfter)
        decisions.write(if (period == null) "rest of an endpoint ignored" else "endpoint rests") {
            mapOf("endpoint" to entry.id, "pool" to entry.pool, "retry_after" to retryAfter, "period" to period)
        }
        if (period == null) return
        endpoints.rests.record(entry.run, period, thread.now())
        onRest(entry.pool)
    }

    /** A misdirected request was answered by another endpoint, which has taken over the address. */
    private fun recordLeaving(entry: EndpointEntry, head: ResponseHead) {
        val runs = if (head.status == MISDIRECTED) directory.othersAtAddressOf(entry) else listOf(entry.run)
        for (run in runs) {
            val changes = directory.recordLeaving(run)
            if (changes.isEmpty()) continue
            decisions.write("endpoint announced that it leaves") { mapOf("endpoint" to run.id, "pool" to entry.pool) }
            apply(changes)
        }
    }

    private companion object {
        const val MISDIRECTED = 421
        const val UNAVAILABLE = 503
    }
}
