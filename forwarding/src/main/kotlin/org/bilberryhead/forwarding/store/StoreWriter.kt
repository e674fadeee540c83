package org.bilberryhead.forwarding.store

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.http.ExchangeOutcome
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.forwarding.http.SingleExchange
import org.bilberryhead.platform.wire.RowTransaction
import org.bilberryhead.platform.wire.StoreCodec
import org.bilberryhead.platform.wire.StoreVersion
import org.bilberryhead.platform.wire.WireHeaders
import org.bilberryhead.platform.wire.WirePaths
import kotlin.time.Duration.Companion.seconds

/** Changes rows of the [store]. */
internal class StoreWriter(
    private val store: SocketAddress,
    private val exchange: SingleExchange,
    private val eras: StoreEras = StoreEras(),
) {
    /**
     * Makes [transaction], and passes the status of the response and the new version of the store to [ended]; both are
     * null when there is no response, and the transaction may or may not have been made then.
     *
     * A transaction that expects versions of an earlier era ends as a [CONFLICT] without a call: rows written since
     * may have got the same numbers.
     */
    fun write(transaction: RowTransaction, ended: (status: Int?, version: StoreVersion?) -> Unit) {
        if (transaction.expected.values.any { it != null && eras.isOutdated(it) }) return ended(CONFLICT, null)
        val headers = DefaultHttpHeaders().add("Host", store.toString()).add("Content-Type", "application/json")
        val body = StoreCodec.encode(transaction).encodeToByteArray()
        val request = OutboundRequest(HttpMethod.POST, WirePaths.ROWS_TRANSACTION, headers, body)
        exchange.send(store, request, RESPONSE_TIMEOUT) { outcome ->
            val response = (outcome as? ExchangeOutcome.Completed)?.response
            ended(response?.head?.status, response?.let(::versionOf))
        }
    }

    private fun versionOf(response: FullResponse): StoreVersion? {
        val era = StoreCodec.decodeEra(response.head.headers[WireHeaders.STORE_ERA])
        eras.record(era)
        return StoreCodec.decodeVersion(response.text, era)
    }

    companion object {
        /** Status of a transaction that was made. */
        const val OK = 200

        /** Status of a transaction that was not made because a row has another version than expected. */
        const val CONFLICT = 412
        private val RESPONSE_TIMEOUT = 3.seconds
    }
}
