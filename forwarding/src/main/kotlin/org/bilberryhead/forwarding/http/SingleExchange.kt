package org.bilberryhead.forwarding.http

import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.memory.BlockBuffer
import org.bilberryhead.core.memory.MemoryBudget
import org.bilberryhead.core.memory.MemoryKind
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.Timer
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

/**
 * Collects a response and reports it once it is complete or has failed. It has failed when [memory] has no room for it.
 */
internal class ResponseCollector(memory: MemoryBudget, private val ended: (ExchangeOutcome) -> Unit) :
    ResponseListener {
    private var head: ResponseHead? = null
    private val body = BlockBuffer()
    private val reservation = memory.newReservation(MemoryKind.OTHER_RESPONSE)
    private var hasEnded = false

    override fun headReceived(head: ResponseHead) {
        this.head = head
    }

    override fun bodyPartReceived(bytes: ByteArray) {
        if (hasEnded) return
        body.write(bytes)
        if (!reservation.tryResize(body.allocatedBytes)) end(ExchangeOutcome.Unknown("no memory for the answer"))
    }

    override fun responseCompleted() {
        val head = head ?: return end(ExchangeOutcome.Unknown("an answer without a head"))
        if (!hasEnded) end(ExchangeOutcome.Completed(FullResponse(head, body.toByteArray())))
    }

    /** Returns the memory of a response that nobody waits for any more; nothing is reported. */
    fun cancel() {
        hasEnded = true
        reservation.release()
        body.clear()
    }

    private fun end(outcome: ExchangeOutcome) {
        if (hasEnded) return
        cancel()
        ended(outcome)
    }

    override fun exchangeFailed(failure: ExchangeFailure) = when (failure) {
        is ExchangeFailure.NotSent -> end(ExchangeOutcome.NotSent(failure.reason))
        is ExchangeFailure.Broken -> end(ExchangeOutcome.Unknown(failure.reason))
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
        var timer: Timer? = null
        val collector = ResponseCollector(connector.memory) { outcome ->
            timer?.cancel()
            connection.close()
            ended(outcome)
        }
        timer = thread.after(timeout) {
            collector.exchangeFailed(ExchangeFailure.Broken("no answer within $timeout"))
        }
        connection.send(request, requestId = null, collector)
    }
}
