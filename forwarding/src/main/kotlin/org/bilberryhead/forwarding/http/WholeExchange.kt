package org.bilberryhead.forwarding.http

import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.EventThread
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/** How an exchange of whole messages ended. */
internal sealed interface ExchangeEnd {
    /** The whole answer came. */
    data class Answered(val response: FullResponse) : ExchangeEnd

    /** No byte of the request was sent. */
    data class NotSent(val reason: String) : ExchangeEnd

    /** The request may have been carried out; no whole answer came. */
    data class Unknown(val reason: String) : ExchangeEnd
}

/** Collects the parts of an answer. */
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

/** One exchange on a connection of its own, with a time limit. */
internal class SingleExchange(private val thread: EventThread, private val connector: Connector) {
    /** Sends [request] to [address], tells [sent] when it was handed to the connection and [ended] once how it went. */
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
        var isOver = false
        val finish = { end: ExchangeEnd ->
            if (!isOver) {
                isOver = true
                connection.close()
                ended(end)
            }
        }
        val timer = thread.after(limit) { finish(ExchangeEnd.Unknown("no answer within $limit")) }
        connection.send(
            request,
            requestId = null,
            ResponseCollector {
                timer.cancel()
                finish(it)
            },
        )
    }
}
