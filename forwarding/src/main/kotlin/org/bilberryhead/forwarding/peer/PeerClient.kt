package org.bilberryhead.forwarding.peer

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.core.serving.PeerReachability
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.endpoint.EndpointConnections
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.ExchangeOutcome
import org.bilberryhead.forwarding.http.OutboundConnection
import org.bilberryhead.forwarding.http.OutboundExchange
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.forwarding.http.ResponseCollector
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.http.ResponseListener
import kotlin.time.Duration.Companion.milliseconds

/** An exchange with a peer that can be cancelled. */
internal class PeerExchange {
    private var outbound: OutboundExchange? = null

    /** Whether [cancel] was called. */
    var isCancelled = false
        private set

    /** Called when the exchange is cancelled. */
    var onCancel: () -> Unit = {}

    internal fun startedAs(outbound: OutboundExchange) {
        this.outbound = outbound
    }

    /** Closes the connection if the exchange has yet to end on it. */
    internal fun closeConnection() = outbound?.cancel()

    /** Cancels the exchange by closing its connection, which the peer notices. */
    fun cancel() {
        isCancelled = true
        closeConnection()
        onCancel()
    }
}

/** Calls one other entry, and checks that it is alive while calls are pending. */
internal class PeerClient(
    private val record: EntryRecord,
    private val thread: EventThread,
    private val decisions: DecisionLog,
    private val connector: Connector,
) {
    private val reachability = PeerReachability()
    private val connections = EndpointConnections(
        record.peerAddress,
        connector,
        thread,
        maximumConnections = { MAXIMUM_CONNECTIONS },
        onAvailable = {},
    )
    private val pendingCalls = mutableSetOf<PendingCall>()
    private var isCheckScheduled = false

    /** Whether the peer is considered reachable, so that calls may be sent to it. */
    val isUsable: Boolean get() = reachability.isUsable(thread.now())

    /** Address on which the peer accepts calls of other entries. */
    val address: SocketAddress get() = record.peerAddress

    /** Random number of this incarnation of the peer; a restarted peer has another one. */
    val incarnation: Long get() = record.incarnation

    /** Excludes the peer for a while, for example because it is draining. */
    fun markUnavailable() = reachability.recordFailure(thread.now())

    /**
     * Sends [body] to [path] and calls [ended] once with the outcome, unless the exchange is cancelled.
     *
     * @param isAbandoned returns whether a call that was sent ends now that the peer gives no sign of life; asked again
     * at intervals while the peer stays silent
     */
    fun call(
        path: String,
        body: ByteArray,
        isAbandoned: () -> Boolean = { true },
        ended: (ExchangeOutcome) -> Unit,
    ): PeerExchange {
        val exchange = PeerExchange()
        val pending = PendingCall(exchange, isAbandoned, ended)
        pendingCalls += pending
        scheduleLivenessCheck()
        connections.acquire(
            requestId = null,
            mayRepeat = true,
            opened = { connection -> send(connection, path, body, pending) },
            failed = { pending.end(ExchangeOutcome.NotSent(it)) },
        )
        return exchange
    }

    private fun send(connection: OutboundConnection, path: String, body: ByteArray, pending: PendingCall) {
        if (pending.exchange.isCancelled || pending !in pendingCalls) {
            pendingCalls -= pending
            return connection.release()
        }
        pending.sendOn(connection, request(path, body))
        thread.after(HEAD_TIMEOUT) { if (!pending.isAccepted) pending.silent("no sign of life within $HEAD_TIMEOUT") }
    }

    private fun request(path: String, body: ByteArray): OutboundRequest {
        val headers = DefaultHttpHeaders().add("Host", record.peerAddress.toString())
        return OutboundRequest(HttpMethod.POST, path, headers, body)
    }

    /** Schedules a liveness check, which repeats while calls are pending. */
    private fun scheduleLivenessCheck() {
        if (isCheckScheduled) return
        isCheckScheduled = true
        thread.after(LIVENESS_INTERVAL) {
            isCheckScheduled = false
            pendingCalls.removeAll { it.exchange.isCancelled }
            if (pendingCalls.isNotEmpty()) checkLiveness()
        }
    }

    private fun checkLiveness() {
        var isDone = false
        val listener = ResponseCollector(connector.memory) { end ->
            if (!isDone) {
                isDone = true
                if (end is ExchangeOutcome.Completed) scheduleLivenessCheck() else failAll("no sign of life: $end")
            }
        }
        connections.acquire(
            requestId = null,
            mayRepeat = false,
            opened = { connection ->
                connection.send(request(PeerPaths.ALIVE, ByteArray(0)), requestId = null, listener)
                thread.after(HEAD_TIMEOUT) {
                    if (!isDone) {
                        isDone = true
                        connection.close()
                        listener.cancel()
                        failAll("no sign of life within $HEAD_TIMEOUT")
                    }
                }
            },
            failed = { failAll(it) },
        )
    }

    private fun failAll(reason: String) {
        pendingCalls.toList().forEach { it.silent(reason) }
        if (pendingCalls.isNotEmpty()) scheduleLivenessCheck()
    }

    private fun reportUnreachable(reason: String) {
        reachability.recordFailure(thread.now())
        decisions.write("peer lost") { mapOf("peer" to record.id, "address" to record.peerAddress, "reason" to reason) }
    }

    private inner class PendingCall(
        val exchange: PeerExchange,
        private val isAbandoned: () -> Boolean,
        private val ended: (ExchangeOutcome) -> Unit,
    ) {
        private var isSent = false
        var isAccepted = false
            private set
        private val collector = ResponseCollector(connector.memory, ::end)

        init {
            exchange.onCancel = collector::cancel
        }

        val listener = object : ResponseListener by collector {
            override fun headReceived(head: ResponseHead) {
                isAccepted = true
                reachability.recordSuccess()
                collector.headReceived(head)
            }
        }

        fun sendOn(connection: OutboundConnection, request: OutboundRequest) {
            isSent = true
            exchange.startedAs(connection.send(request, requestId = null, listener))
        }

        fun end(outcome: ExchangeOutcome) {
            // The rest of a response without memory would keep the connection.
            if (outcome !is ExchangeOutcome.Completed) exchange.closeConnection()
            if (!pendingCalls.remove(this) || exchange.isCancelled) return
            if (outcome !is ExchangeOutcome.Completed) reportUnreachable(outcome.toString())
            ended(outcome)
        }

        /** The peer gives no sign of life: ends the call, unless its caller waits on. */
        fun silent(reason: String) {
            if (this !in pendingCalls || exchange.isCancelled) return
            if (isSent && !isAbandoned()) {
                if (isUsable) reportUnreachable(reason)
                return
            }
            end(if (isSent) ExchangeOutcome.Unknown(reason) else ExchangeOutcome.NotSent(reason))
            exchange.cancel()
        }
    }

    private companion object {
        const val MAXIMUM_CONNECTIONS = 400
        val HEAD_TIMEOUT = 400.milliseconds
        val LIVENESS_INTERVAL = 300.milliseconds
    }
}
