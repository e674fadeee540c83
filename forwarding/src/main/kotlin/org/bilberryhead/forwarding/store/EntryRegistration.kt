package org.bilberryhead.forwarding.store

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.http.ExchangeOutcome
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.forwarding.http.SingleExchange
import org.bilberryhead.platform.wire.StoreCodec
import org.bilberryhead.platform.wire.WirePaths
import org.bilberryhead.platform.wire.WireTables
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Writes this entry's newest row into the store and retries until that succeeds. The write is idempotent. */
internal class EntryRegistration(
    private val ownId: DaemonId,
    private val store: SocketAddress,
    private val thread: EventThread,
    private val exchange: SingleExchange,
    private val decisions: DecisionLog,
) {
    private var newestRow: EntryRow? = null
    private var backoff = INITIAL_BACKOFF

    /** Starts to write [row]; it replaces a row that is still being retried. */
    fun write(row: EntryRow) {
        newestRow = row
        exchange.send(store, request(row), RESPONSE_TIMEOUT) { outcome ->
            val status = (outcome as? ExchangeOutcome.Completed)?.response?.head?.status
            decisions.write("entry registered") {
                mapOf("entry" to ownId, "leaving" to row.isLeaving, "status" to status, "again" to (status != OK))
            }
            if (status != OK) retry(row)
        }
    }

    private fun retry(row: EntryRow) {
        thread.after(backoff) { if (row == newestRow) write(row) }
        backoff = (backoff * 2).coerceAtMost(MAXIMUM_BACKOFF)
    }

    private fun request(row: EntryRow): OutboundRequest {
        val headers = DefaultHttpHeaders().add("Host", store.toString()).add("Content-Type", "application/json")
        val body = StoreCodec.encodePut(WireTables.ENTRIES, ownId.value, row.encode())
        return OutboundRequest(HttpMethod.POST, WirePaths.ROWS_TRANSACTION, headers, body.encodeToByteArray())
    }

    private companion object {
        const val OK = 200
        val RESPONSE_TIMEOUT: Duration = 3.seconds
        val INITIAL_BACKOFF = 1.seconds
        val MAXIMUM_BACKOFF = 10.seconds
    }
}
