package org.bilberryhead.core.gate

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.RequestId

/**
 * Which requests wait for which attempts, and on which connections their answers go. An attempt has several
 * subscribers when one ticket was submitted more than once.
 *
 * Not safe for use by several threads.
 */
internal class Subscriptions {
    private val openOrder = HashMap<ConnectionId, Long>()
    private val byAttempt = HashMap<AttemptId, LinkedHashMap<RequestId, ConnectionId>>()
    private var opened = 0L

    /** The connections that are open, oldest first. */
    val connections: List<ConnectionId> get() = openOrder.entries.sortedBy { it.value }.map { it.key }

    /** Records that [connection] is open. */
    fun open(connection: ConnectionId) {
        openOrder[connection] = opened++
    }

    /** Records that [connection] is closed; who waited on it may come back on another. */
    fun close(connection: ConnectionId) {
        openOrder.remove(connection)
        byAttempt.values.forEach { subscribers -> subscribers.values.removeAll { it == connection } }
        byAttempt.values.removeAll { it.isEmpty() }
    }

    /** Whether [connection] is open. */
    fun isOpen(connection: ConnectionId): Boolean = connection in openOrder

    /**
     * Records that [request] waits for [attempt] on [connection]. Returns false when it waits on a newer connection,
     * which makes the message that asked for this a late one.
     */
    fun subscribe(attempt: AttemptId, request: RequestId, connection: ConnectionId): Boolean {
        val subscribers = byAttempt.getOrPut(attempt) { LinkedHashMap() }
        val current = subscribers[request]
        if (current != null && openOrder.getValue(current) > openOrder.getValue(connection)) return false
        subscribers[request] = connection
        return true
    }

    /** Records that [request] no longer waits for [attempt]. */
    fun unsubscribe(attempt: AttemptId, request: RequestId) {
        val subscribers = byAttempt[attempt] ?: return
        subscribers.remove(request)
        if (subscribers.isEmpty()) byAttempt.remove(attempt)
    }

    /** Whether a request other than [request] waits for [attempt]. */
    fun hasOthers(attempt: AttemptId, request: RequestId): Boolean = byAttempt[attempt].orEmpty().keys.any {
        it !=
            request
    }

    /** Returns the connections on which [attempt] is waited for, each once. */
    fun connectionsOf(attempt: AttemptId): Set<ConnectionId> = byAttempt[attempt].orEmpty().values.toSet()

    /** Forgets who waited for [attempt]. */
    fun remove(attempt: AttemptId) {
        byAttempt.remove(attempt)
    }
}
