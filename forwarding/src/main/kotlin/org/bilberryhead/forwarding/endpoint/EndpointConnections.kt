package org.bilberryhead.forwarding.endpoint

import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.http.ConnectFailure
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.OutboundConnection
import org.bilberryhead.forwarding.http.ResponseHead
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The pool of connections of this entry to one endpoint.
 *
 * @param maximumConnections maximum number of connections: this entry's share of those that the endpoint accepts
 * @param onAvailable called when another exchange may be able to start
 * @param mayProbe returns whether the endpoint may be probed; not while it rests or its data centre is evacuated
 * @param onHeadReceived called with the head of each response of the endpoint
 */
internal class EndpointConnections(
    private val address: SocketAddress,
    private val connector: Connector,
    private val thread: EventThread,
    private val maximumConnections: () -> Int,
    private val onAvailable: () -> Unit,
    private val onHeadReceived: (ResponseHead) -> Unit = {},
    private val mayProbe: () -> Boolean = { true },
) {
    private val idle = ArrayDeque<OutboundConnection>()
    private val open = mutableSetOf<OutboundConnection>()
    private var openingCount = 0
    private var isClosed = false

    /** Returns whether an exchange can start now, on an idle or a new connection. */
    fun canAcquire(): Boolean {
        dropUnusable()
        return idle.isNotEmpty() || open.size + openingCount < maximumConnections()
    }

    /**
     * Passes a connection on which an exchange can start to [opened], or the reason why there is none to [failed].
     *
     * @param requestId id of the request; its connection has never carried a request with that id; null without one
     * @param mayRepeat whether the exchange may be repeated; one that may not gets a new connection instead of one that
     * has been idle for long, which the endpoint may be closing, as long as the maximum allows it
     */
    fun acquire(
        requestId: String?,
        mayRepeat: Boolean,
        opened: (OutboundConnection) -> Unit,
        failed: (String) -> Unit,
    ) {
        dropUnusable()
        val reusable = idle.lastOrNull { requestId == null || !it.hasCarried(requestId) }
        val avoidsLongIdle = !mayRepeat && open.size + openingCount < maximumConnections()
        if (reusable != null && (!avoidsLongIdle || thread.now() - reusable.idleSince < SHORT_IDLE_TIME)) {
            idle -= reusable
            opened(reusable)
            return
        }
        if (open.size + openingCount >= maximumConnections()) closeLongestIdle()
        open(opened) { failed(it.reason) }
    }

    /**
     * Finds out whether the endpoint still listens by opening another connection, which is kept for later exchanges.
     * Passes the result to [ended]: null when it listens, or why the connection could not be opened.
     */
    fun probe(ended: (ConnectFailure?) -> Unit) {
        // It gets no new work either, so nothing depends on whether it listens.
        if (!mayProbe()) return ended(null)
        // Connections that outlive a failure on another one show it as well when no more may be opened.
        if (open.isNotEmpty() && open.size + openingCount >= maximumConnections()) return ended(null)
        open(
            opened = {
                it.release()
                ended(null)
            },
            failed = ended,
        )
    }

    private fun open(opened: (OutboundConnection) -> Unit, failed: (ConnectFailure) -> Unit) {
        openingCount++
        connector.open(
            address,
            opened = { connection ->
                openingCount--
                register(connection)
                opened(connection)
            },
            failed = {
                openingCount--
                failed(it)
                onAvailable()
            },
        )
    }

    /** Closes the idle connections, and the others when their exchanges have ended. */
    fun close() {
        isClosed = true
        idle.toList().forEach { it.close() }
        idle.clear()
    }

    private fun register(connection: OutboundConnection) {
        open += connection
        connection.onHeadReceived = onHeadReceived
        connection.onStateChange = { updateState(connection) }
    }

    private fun updateState(connection: OutboundConnection) {
        when {
            !connection.isOpen || !connection.isReusable -> discard(connection)
            isClosed -> connection.close()
            connection !in idle -> idle.addLast(connection)
        }
        onAvailable()
    }

    private fun discard(connection: OutboundConnection) {
        open -= connection
        idle -= connection
    }

    private fun closeLongestIdle() {
        val connection = idle.firstOrNull() ?: return
        discard(connection)
        connection.close()
    }

    private fun dropUnusable() {
        val now = thread.now()
        idle.filterNot { it.isUsable(now) }.forEach {
            discard(it)
            it.close()
        }
    }

    private companion object {
        /** Idle time up to which the endpoint is not expected to close a connection. */
        val SHORT_IDLE_TIME: Duration = 800.milliseconds
    }
}
