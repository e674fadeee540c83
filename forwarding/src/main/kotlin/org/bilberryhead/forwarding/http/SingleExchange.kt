package org.bilberryhead.forwarding.http

import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.EventThread
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** How an exchange ended. */
internal sealed interface ExchangeEnd {
    /** The complete response arrived. */
    data class Answered(val response: FullResponse) : ExchangeEnd

    /** No byte of the request was sent, so it had no effect. */
    data class NotSent(val reason: String) : ExchangeEnd

    /** The request may have been executed, but no complete response arrived. */
    data class Unknown(val reason: String) : ExchangeEnd
}

/** Collects a response and reports it once it is complete or has failed. */
internal class ResponseCollector(private val ended: (ExchangeEnd) -> Unit) : ResponseListener {
    private var head: ResponseHead? = null
    private val body = ByteArrayOutputStream()

    override fun head(head: ResponseHead) {
        this.head = head
    }

    override fun body(bytes: ByteArray) {
        body.write(bytes)
    }

    override fun end() {
        val head = head ?: return ended(ExchangeEnd.Unknown("an answer without a head"))
        ended(ExchangeEnd.Answered(FullResponse(head, body.toByteArray())))
    }

    override fun failed(failure: ExchangeFailure) = when (failure) {
        is ExchangeFailure.NotSent -> ended(ExchangeEnd.NotSent(failure.reason))
        is ExchangeFailure.Broken -> ended(ExchangeEnd.Unknown(failure.reason))
    }
}

/** Carries out exchanges, each on a new connection and with a time limit. */
internal class SingleExchange(private val thread: EventThread, private val connector: Connector) {
    /**
     * Sends [request] to [address]. Calls [sent] once the request was handed to the connection, and [ended] exactly
     * once with the outcome; without a response within [limit] after connecting the outcome is unknown.
     */
    fun run(
        address: SocketAddress,
        request: OutboundRequest,
        limit: Duration,
        sent: () -> Unit = {},
        ended: (ExchangeEnd) -> Unit,
    ) {
        connector.open(
            address,
            opened = { connection ->
                exchange(connection, request, limit, ended)
                sent()
            },
            failed = { ended(ExchangeEnd.NotSent(it)) },
        )
    }

    private fun exchange(
        connection: OutboundConnection,
        request: OutboundRequest,
        limit: Duration,
        ended: (ExchangeEnd) -> Unit,
    ) {
        var isEnded = false
        val endOnce = { end: ExchangeEnd ->
            if (!isEnded) {
                isEnded = true
                connection.close()
                ended(end)
            }
        }
        val timer = thread.after(limit) { endOnce(ExchangeEnd.Unknown("no answer within $limit")) }
        connection.send(
            request,
            requestId = null,
            ResponseCollector {
                timer.cancel()
                endOnce(it)
            },
        )
    }
}
