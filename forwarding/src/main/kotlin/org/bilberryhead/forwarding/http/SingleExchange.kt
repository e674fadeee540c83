package org.bilberryhead.forwarding.http

import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.EventThread
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** The outcome of an exchange. */
internal sealed interface ExchangeOutcome {
    /** The complete response arrived. */
    data class Completed(val response: FullResponse) : ExchangeOutcome

    /** No byte of the request was sent, so it had no effect. */
    data class NotSent(val reason: String) : ExchangeOutcome

    /** The request may have been executed, but no complete response arrived. */
    data class Unknown(val reason: String) : ExchangeOutcome
}

/** Collects a response and reports it once it is complete or has failed. */
internal class ResponseCollector(private val ended: (ExchangeOutcome) -> Unit) : ResponseListener {
    private var head: ResponseHead? = null
    private val body = ByteArrayOutputStream()

    override fun headReceived(head: ResponseHead) {
        this.head = head
    }

    override fun bodyPartReceived(bytes: ByteArray) {
        body.write(bytes)
    }

    override fun responseCompleted() {
        val head = head ?: return ended(ExchangeOutcome.Unknown("an answer without a head"))
        ended(ExchangeOutcome.Completed(FullResponse(head, body.toByteArray())))
    }

    override fun exchangeFailed(failure: ExchangeFailure) = when (failure) {
        is ExchangeFailure.NotSent -> ended(ExchangeOutcome.NotSent(failure.reason))
        is ExchangeFailure.Broken -> ended(ExchangeOutcome.Unknown(failure.reason))
    }
}

/** Carries out exchanges, each on a new connection and with a timeout. */
internal class SingleExchange(private val thread: EventThread, private val connector: Connector) {
    /**
     * Sends [request] to [address]. Calls [sent] once the request was handed to the connection, and [ended] exactly
     * once with the outcome; without a response within [timeout] after connecting the outcome is unknown.
     *
     * @param obstacle returns why the request must not be sent once the connection is open, or null
     * @param headReceived called with the head of the response
     */
    fun send(
        address: SocketAddress,
        request: OutboundRequest,
        timeout: Duration,
        sent: () -> Unit = {},
        obstacle: () -> String? = { null },
        headReceived: (ResponseHead) -> Unit = {},
        ended: (ExchangeOutcome) -> Unit,
    ) {
        connector.open(
            address,
            opened = { connection ->
                connection.onHeadReceived = headReceived
                val reason = obstacle()
                if (reason == null) {
                    exchange(connection, request, timeout, ended)
                    sent()
                } else {
                    connection.close()
                    ended(ExchangeOutcome.NotSent(reason))
                }
            },
            failed = { ended(ExchangeOutcome.NotSent(it.reason)) },
        )
    }

    private fun exchange(
        connection: OutboundConnection,
        request: OutboundRequest,
        timeout: Duration,
        ended: (ExchangeOutcome) -> Unit,
    ) {
        var isEnded = false
        val endOnce = { outcome: ExchangeOutcome ->
            if (!isEnded) {
                isEnded = true
                connection.close()
                ended(outcome)
            }
        }
        val timer = thread.after(timeout) { endOnce(ExchangeOutcome.Unknown("no answer within $timeout")) }
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
