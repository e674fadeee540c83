package org.bilberryhead.forwarding.endpoint

import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.OutboundConnection
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The connections of this entry to one endpoint.
 *
 * @param limit most connections, this entry's share of what the endpoint accepts
 */
internal class EndpointConnections(
    private val address: SocketAddress,
    private val connector: Connector,
    private val thread: EventThread,
    private val limit: () -> Int,
    private val onAvailable: () -> Unit,
) {
    private val idle = ArrayDeque<OutboundConnection>()
    private val open = mutableSetOf<OutboundConnection>()
    private var opening = 0
    private var isClosed = false

    /** Whether an exchange can begin now. */
    fun canAcquire(): Boolean {
        dropUnusable()
        return idle.isNotEmpty() || open.size + opening < limit()
    }

    /**
     * Gets a connection on which an exchange can begin.
     *
     * @param mayRepeat whether the exchange could be repeated; others get no connection that was idle for long, since
     * the endpoint may be closing it
     */
    fun acquire(mayRepeat: Boolean, opened: (OutboundConnection) -> Unit, failed: (String) -> Unit) {
        dropUnusable()
        val kept = idle.lastOrNull()
        val needsFresh = !mayRepeat && open.size + opening < limit()
        if (kept != null && (!needsFresh || thread.now() - kept.idleSince < FRESH)) {
            idle.removeLast()
            opened(kept)
            return
        }
        opening++
        connector.open(
            address,
            opened = { connection ->
                opening--
                register(connection)
                opened(connection)
            },
            failed = {
                opening--
                failed(it)
                onAvailable()
            },
        )
    }

    /** Closes what is idle; exchanges that are under way go on. */
    fun close() {
        isClosed = true
        idle.toList().forEach { it.close() }
        idle.clear()
    }

    private fun register(connection: OutboundConnection) {
        open += connection
        connection.onStateChange = { settle(connection) }
    }

    private fun settle(connection: OutboundConnection) {
        when {
            !connection.isOpen || !connection.isReusable -> release(connection)
            isClosed -> connection.close()
            connection !in idle -> idle.addLast(connection)
        }
        onAvailable()
    }

    private fun release(connection: OutboundConnection) {
        open -= connection
        idle -= connection
    }

    private fun dropUnusable() {
        val now = thread.now()
        idle.filterNot { it.isUsable(now) }.forEach {
            release(it)
            it.close()
        }
    }

    private companion object {
        val FRESH: Duration = 800.milliseconds
    }
}
