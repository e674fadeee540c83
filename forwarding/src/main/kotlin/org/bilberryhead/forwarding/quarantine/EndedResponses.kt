package org.bilberryhead.forwarding.quarantine

import org.bilberryhead.core.quarantine.CrashId
import org.bilberryhead.core.serving.PromptPartId
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.endpoint.Endpoint
import kotlin.time.Duration.Companion.milliseconds

/**
 * Responses that ended with their connection and nothing else, so that a crash may have ended them. Those of one run of
 * an endpoint are collected for a short time; they are sound if the endpoint still listens then, and were ended by a
 * crash if it does not. Nothing follows when that can't be found out.
 *
 * @param sound called with the shared parts of each prompt whose response was sound
 * @param broken called with the endpoint and the shared parts of each prompt whose response a crash may have ended
 */
internal class EndedResponses(
    private val thread: EventThread,
    private val decisions: DecisionLog,
    private val sound: (List<PromptPartId>) -> Unit,
    private val broken: (Endpoint, List<PromptPartId>) -> Unit,
) {
    private val pending = mutableMapOf<CrashId, MutableSet<List<PromptPartId>>>()

    /** Records that a response of [endpoint] to a prompt with the shared [parts] ended with its connection. */
    fun add(endpoint: Endpoint, parts: List<PromptPartId>) {
        val id = CrashId(endpoint.entry.id, endpoint.entry.startedAt)
        val known = pending[id]
        if (known != null) {
            if (known.size < MAXIMUM_PENDING) known += parts
            return
        }
        pending[id] = mutableSetOf(parts)
        thread.after(PENDING_TIME) { check(id, endpoint) }
    }

    private fun check(id: CrashId, endpoint: Endpoint) = endpoint.connections.probe { failure ->
        val ended = pending.remove(id).orEmpty()
        if (failure == null) return@probe ended.forEach(sound)
        decisions.write("ended responses not known as sound") {
            mapOf("endpoint" to id.endpoint, "prompts" to ended.size, "reason" to failure.reason)
        }
        if (failure.isRefused) ended.forEach { broken(endpoint, it) }
    }

    private companion object {
        /** Time in which a process that crashes after its connections have closed stops to listen. */
        val PENDING_TIME = 250.milliseconds

        /** Largest number of different prompts of one endpoint that are remembered. */
        const val MAXIMUM_PENDING = 1_000
    }
}
