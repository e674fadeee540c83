package org.bilberryhead.forwarding.store

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.ExchangeOutcome
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.OutboundConnection
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.forwarding.http.ResponseCollector
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A call that reads from the store.
 *
 * @property path what is read
 * @property hedgePath the same, from a store that responds without a wait
 * @property hedgeDelay time without a response after which the call is made once more
 * @property timeout time without a response after which the call has failed
 */
internal class StoreCall(val path: String, val hedgePath: String, val hedgeDelay: Duration, val timeout: Duration)

/** The end of a [StoreCall]. */
internal sealed interface StoreCallResult {
    /**
     * The store responded.
     *
     * @property asOf time from which on nothing that the store accepted may be missing in the response
     */
    data class Answered(val response: FullResponse, val asOf: Instant) : StoreCallResult

    /** There was no response. */
    data class Failed(val reason: String) : StoreCallResult
}

/**
 * Makes calls to the store, one after the other, on a connection that is kept. A call without a response is made once
 * more on a connection of its own while the first one goes on, and the first success is the response to both.
 *
 * @param hedged called when a call is made once more
 */
internal class StoreReader(
    private val store: SocketAddress,
    private val thread: EventThread,
    private val connector: Connector,
    private val hedged: () -> Unit,
) {
    private var kept: OutboundConnection? = null
    private var pending: PendingCall? = null

    /** Makes [call], and passes its end to [ended] exactly once, unless the call is abandoned. */
    fun read(call: StoreCall, ended: (StoreCallResult) -> Unit) = PendingCall(call, ended).also { pending = it }.start()

    /** Ends the call in progress without a result. */
    fun abandon() {
        pending?.cancel()
    }

    /** Closes the connection, on which more responses may be to come. */
    fun disconnect() {
        kept?.close()
        kept = null
    }

    private inner class PendingCall(private val call: StoreCall, private val ended: (StoreCallResult) -> Unit) {
        private val connections = mutableListOf<OutboundConnection>()
        private val collectors = mutableListOf<ResponseCollector>()
        private var exchanges = 0
        private var isEnded = false
        private var isHedged = false
        private val hedgeTimer = thread.after(call.hedgeDelay) { hedge() }
        private val timer = thread.after(call.timeout) {
            end(StoreCallResult.Failed("no answer within ${call.timeout}"))
        }

        fun start() {
            exchanges++
            val open = kept
            kept = null
            if (open != null && open.isUsable(thread.now())) {
                send(open, call.path)
            } else {
                open?.close()
                connect(call.path)
            }
        }

        private fun hedge() {
            if (isEnded) return
            isHedged = true
            hedged()
            exchanges++
            connect(call.hedgePath)
        }

        private fun connect(path: String) = connector.open(
            store,
            opened = { if (isEnded) it.close() else send(it, path) },
            failed = { failed(StoreCallResult.Failed(it.reason)) },
        )

        private fun send(connection: OutboundConnection, path: String) {
            connections += connection
            val sentAt = thread.now()
            val headers = DefaultHttpHeaders().add("Host", store.toString())
            val request = OutboundRequest(HttpMethod.GET, path, headers, NO_BODY)
            val collector = ResponseCollector(connector.memory) { handle(it, connection, sentAt) }
            collectors += collector
            connection.send(request, requestId = null, collector)
        }

        private fun handle(outcome: ExchangeOutcome, connection: OutboundConnection, sentAt: Instant) = when (outcome) {
            is ExchangeOutcome.NotSent -> failed(StoreCallResult.Failed(outcome.reason))
            is ExchangeOutcome.Unknown -> failed(StoreCallResult.Failed(outcome.reason))
            is ExchangeOutcome.Completed -> {
                // A slow response may hold what the store knew long before the response arrived.
                val answer = StoreCallResult.Answered(outcome.response, if (isHedged) sentAt else thread.now())
                if (outcome.response.head.status == OK) answered(answer, connection) else failed(answer)
            }
        }

        private fun answered(answer: StoreCallResult.Answered, connection: OutboundConnection) {
            if (isEnded) return
            connections -= connection
            kept = connection
            end(answer)
        }

        /** Ends the call with [result] unless the other exchange goes on. */
        private fun failed(result: StoreCallResult) {
            exchanges--
            if (exchanges == 0) end(result)
        }

        private fun end(result: StoreCallResult) {
            if (isEnded) return
            cancel()
            ended(result)
        }

        fun cancel() {
            isEnded = true
            hedgeTimer.cancel()
            timer.cancel()
            connections.forEach { it.close() }
            collectors.forEach { it.cancel() }
        }
    }

    private companion object {
        const val OK = 200
        val NO_BODY = ByteArray(0)
    }
}
