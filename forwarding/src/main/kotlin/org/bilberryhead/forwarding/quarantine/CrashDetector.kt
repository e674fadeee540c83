package org.bilberryhead.forwarding.quarantine

import org.bilberryhead.core.quarantine.CrashId
import org.bilberryhead.core.serving.PromptPartId
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.endpoint.Endpoint
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tells crashes of endpoints from other failures of attempts. Failures at one run of an endpoint are collected for a
 * short time; then they count as a crash when the endpoint no longer listens. An address that does not respond at all
 * is no crash: then the network between this entry and many endpoints may be down.
 *
 * @param crashed called with the shared parts of the prompts that the endpoint was about to answer; again when more of
 *   them become known
 */
internal class CrashDetector(
    private val thread: EventThread,
    private val decisions: DecisionLog,
    private val crashed: (CrashId, Set<PromptPartId>) -> Unit,
) {
    private val collected = mutableMapOf<CrashId, MutableSet<PromptPartId>>()
    private val confirmed = LinkedHashSet<CrashId>()

    /** Records that an attempt with [parts] failed at [endpoint], which was about to answer it. */
    fun attemptBroken(endpoint: Endpoint, parts: List<PromptPartId>) {
        val id = CrashId(endpoint.entry.id, endpoint.entry.startedAt)
        if (id in confirmed) return crashed(id, parts.toSet())
        val known = collected[id]
        if (known != null) {
            known += parts
            return
        }
        collected[id] = parts.toMutableSet()
        thread.after(COLLECTION_TIME) { probe(id, endpoint) }
    }

    private fun probe(id: CrashId, endpoint: Endpoint) = endpoint.connections.probe { failure ->
        val parts = collected.remove(id).orEmpty()
        decisions.write("endpoint probed after a failure") {
            mapOf("endpoint" to id.endpoint, "crashed" to (failure?.isRefused == true), "reason" to failure?.reason)
        }
        if (failure?.isRefused == true) {
            confirmed += id
            if (confirmed.size > MAXIMUM_CONFIRMED) confirmed.remove(confirmed.first())
            crashed(id, parts)
        }
    }

    private companion object {
        val COLLECTION_TIME = 30.milliseconds

        /** Number of crashes to which later failures are added without another probe. */
        const val MAXIMUM_CONFIRMED = 64
    }
}
