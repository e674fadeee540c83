package org.bilberryhead.core.gate

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.RequestId

/**
 * The requests that wait for messages about attempts, and the connections on which they receive them. An attempt has
 * several subscribers when a caller submitted a ticket more than once.
 *
 * Not thread-safe.
 */
internal class Subscriptions {
    private val openOrder = HashMap<ConnectionId, Long>()
    private val byAttempt = HashMap<AttemptId, LinkedHashMap<RequestId, ConnectionId>>()
    private var openedCount = 0L

    /** The open connections, oldest first. */
    val connections: List<ConnectionId> get() = openOrder.entries.sortedBy { it.value }.map { it.key }

    /** Records that [connection] is open. */
    fun open(connection: ConnectionId) {
        openOrder[connection] = openedCount++
    }

    /** Removes [connection] and its subscribers, which may subscribe again on another connection. */
    fun close(connection: ConnectionId) {
        openOrder.remove(connection)
        byAttempt.values.forEach { subscribers -> subscribers.values.removeAll { it == connection } }
        byAttempt.values.removeAll { it.isEmpty() }
    }

    /** Whether [connection] is open. */
    fun isOpen(connection: ConnectionId): Boolean = connection in openOrder

    /**
     * Records that [request] waits for [attempt] on [connection]. Returns false when the request already waits on a
     * newer connection: the message that caused this call is then late and must be ignored.
     */
    fun subscribe(attempt: AttemptId, request: RequestId, connection: ConnectionId): Boolean {
        val subscribers = byAttempt.getOrPut(attempt) { LinkedHashMap() }
        val current = subscribers[request]
        if (current != null && openOrder.getValue(current) > openOrder.getValue(connection)) return false
        subscribers[request] = connection
        return true
    }

    /** Ends the subscription of [request] to [attempt]. */
    fun unsubscribe(attempt: AttemptId, request: RequestId) {
        val subscribers = byAttempt[attempt] ?: return
        subscribers.remove(request)
        if (subscribers.isEmpty()) byAttempt.remove(attempt)
    }

    /** Whether a request other than [request] waits for [attempt]. */
    fun hasOtherSubscribers(attempt: AttemptId, request: RequestId): Boolean =
        byAttempt[attempt].orEmpty().keys.any { it != request }

    /** Returns the connections on which requests wait for [attempt], each once. */
    fun connectionsOf(attempt: AttemptId): Set<ConnectionId> = byAttempt[attempt].orEmpty().values.toSet()

    /** Ends all subscriptions to [attempt]. */
    fun remove(attempt: AttemptId) {
        byAttempt.remove(attempt)
    }
}
