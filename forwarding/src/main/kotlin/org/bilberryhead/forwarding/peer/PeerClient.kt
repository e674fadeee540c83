package org.bilberryhead.forwarding.peer

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.core.serving.PeerReachability
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.endpoint.EndpointConnections
import org.bilberryhead.forwarding.http.ResponseCollector
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.http.ResponseListener
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.ExchangeEnd
import org.bilberryhead.forwarding.http.OutboundConnection
import org.bilberryhead.forwarding.http.OutboundRequest
import kotlin.time.Duration.Companion.milliseconds

/** An exchange with a peer that can be called off. */
internal class PeerExchange {
    private var connection: OutboundConnection? = null

    /** Whether it was called off. */
    var isCancelled = false
        private set

    internal fun carriedBy(connection: OutboundConnection) {
        this.connection = connection
    }

    /** Calls it off; the peer hears of it by the end of the connection. */
    fun cancel() {
        isCancelled = true
        connection?.close()
    }
}

/** Calls one other entry, and watches whether it lives while it owes answers. */
internal class PeerClient(
    private val record: EntryRecord,
    private val thread: EventThread,
    private val decisions: DecisionLog,
    connector: Connector,
) {
    private val reachability = PeerReachability()
    private val connections =
        EndpointConnections(record.peerAddress, connector, thread, limit = { MAXIMUM_CONNECTIONS }, onAvailable = {})
    private val owed = mutableSetOf<Owed>()
    private var isWatched = false

    /** Whether the peer may be asked. */
    val isUsable: Boolean get() = reachability.isUsable(thread.now())

    /** Where the peer is reached. */
    val address: SocketAddress get() = record.peerAddress

    /** The run of the peer's process. */
    val run: Long get() = record.runId

    /** Passes the peer over for a while: it said that it leaves. */
    fun markUnavailable() = reachability.recordFailure(thread.now())

    /** Sends [body] to [path]; [ended] hears once how it went, unless the exchange is called off. */
    fun call(path: String, body: ByteArray, ended: (ExchangeEnd) -> Unit): PeerExchange {
        val exchange = PeerExchange()
        val debt = Owed(exchange, ended)
        owed += debt
        watch()
        connections.acquire(
            mayRepeat = true,
            opened = { connection -> send(connection, path, body, debt) },
            failed = { debt.end(ExchangeEnd.NotSent(it)) },
        )
        return exchange
    }

    private fun send(connection: OutboundConnection, path: String, body: ByteArray, debt: Owed) {
        if (debt.exchange.isCancelled || debt !in owed) {
            owed -= debt
            return connection.release()
        }
        debt.exchange.carriedBy(connection)
        connection.send(request(path, body), requestId = null, debt.listener)
        thread.after(ACCEPT_LIMIT) { if (!debt.isAccepted) debt.giveUp("no sign of life within $ACCEPT_LIMIT") }
    }

    private fun request(path: String, body: ByteArray): OutboundRequest {
        val headers = DefaultHttpHeaders().add("Host", record.peerAddress.toString())
        return OutboundRequest(HttpMethod.POST, path, headers, body)
    }

    /** Asks for a sign of life from time to time while answers are owed. */
    private fun watch() {
        if (isWatched) return
        isWatched = true
        thread.after(ALIVE_INTERVAL) {
            isWatched = false
            owed.removeAll { it.exchange.isCancelled }
            if (owed.isNotEmpty()) askAlive()
        }
    }

    private fun askAlive() {
        var isAnswered = false
        val listener = ResponseCollector { end ->
            if (!isAnswered) {
                isAnswered = true
                if (end is ExchangeEnd.Answered) watch() else lost("no sign of life: $end")
            }
        }
        connections.acquire(
            mayRepeat = false,
            opened = { connection ->
                connection.send(request(PeerPaths.ALIVE, ByteArray(0)), requestId = null, listener)
                thread.after(ACCEPT_LIMIT) {
                    if (!isAnswered) {
                        isAnswered = true
                        connection.close()
                        lost("no sign of life within $ACCEPT_LIMIT")
                    }
                }
            },
            failed = { lost(it) },
        )
    }

    private fun lost(reason: String) = owed.toList().forEach { it.giveUp(reason) }

    private fun unreachable(reason: String) {
        reachability.recordFailure(thread.now())
        decisions.write("peer lost") { mapOf("peer" to record.id, "address" to record.peerAddress, "reason" to reason) }
    }

    private inner class Owed(val exchange: PeerExchange, private val ended: (ExchangeEnd) -> Unit) {
        var isAccepted = false
            private set
        private val collector = ResponseCollector(::end)

        val listener = object : ResponseListener by collector {
            override fun head(head: ResponseHead) {
                isAccepted = true
                reachability.recordSuccess()
                collector.head(head)
            }
        }

        fun end(end: ExchangeEnd) {
            if (!owed.remove(this) || exchange.isCancelled) return
            if (end !is ExchangeEnd.Answered) unreachable(end.toString())
            ended(end)
        }

        fun giveUp(reason: String) {
            if (this !in owed || exchange.isCancelled) return
            end(ExchangeEnd.Unknown(reason))
            exchange.cancel()
        }
    }

    private companion object {
        const val MAXIMUM_CONNECTIONS = 400
        val ACCEPT_LIMIT = 400.milliseconds
        val ALIVE_INTERVAL = 300.milliseconds
    }
}
