package org.bilberryhead.forwarding.endpoint

import org.bilberryhead.core.serving.EndpointChange
import org.bilberryhead.core.serving.EndpointDirectory
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.platform.wire.HeaderValues
import org.bilberryhead.platform.wire.WireHeaders

/**
 * Follows what endpoints say about themselves in the heads of their responses, to requests of any kind.
 *
 * @param apply applies changes of the directory
 */
internal class EndpointAnnouncements(
    private val directory: EndpointDirectory,
    private val decisions: DecisionLog,
    private val apply: (List<EndpointChange>) -> Unit,
) {
    /** Reads [head], the head of a response to a request that was meant for the endpoint of [entry]. */
    fun headReceived(entry: EndpointEntry, head: ResponseHead) {
        if (HeaderValues.isLeaving(head.headers[WireHeaders.LEAVING])) recordLeaving(entry, head)
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
    }
}
