package org.bilberryhead.forwarding.membership

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.http.ExchangeOutcome
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.forwarding.http.SingleExchange
import org.bilberryhead.forwarding.store.EntryRow
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.RowTransaction
import org.bilberryhead.platform.wire.StoreCodec
import org.bilberryhead.platform.wire.WirePaths
import org.bilberryhead.platform.wire.WireTables
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Writes this entry's row and lease into the store: registers them, retrying until that succeeds, renews the lease, and
 * registers both again when another entry has removed them.
 *
 * @param onRenewed called when a registration or renewal has succeeded, with the time at which its call was sent
 */
internal class LeaseKeeper(
    private val ownId: DaemonId,
    private val store: SocketAddress,
    private val thread: EventThread,
    private val exchange: SingleExchange,
    private val decisions: DecisionLog,
    private val onRenewed: (sentAt: Instant) -> Unit,
) {
    private val entryKey = RowKey(WireTables.ENTRIES, ownId.value)
    private val leaseKey = RowKey(WireTables.LEASES, ownId.value)
    private var newestRow: EntryRow? = null
    private var registeredVersion: Long? = null
    private var renewalCount = 0
    private var backoff = INITIAL_BACKOFF

    /** Registers [row]; it replaces a row that is still being retried. */
    fun register(row: EntryRow) {
        newestRow = row
        registeredVersion = null
        val puts = mapOf(entryKey to row.encode(), leaseKey to nextLease(row))
        send(RowTransaction(puts = puts)) { status, version ->
            decisions.write("entry registered") {
                mapOf("entry" to ownId, "leaving" to row.isLeaving, "status" to status, "again" to (status != OK))
            }
            if (status != OK) {
                retry(row)
            } else if (row == newestRow) {
                registeredVersion = version
            }
        }
    }

    /** Renews the lease if the registered row is still in the store; otherwise registers the row again. */
    fun renew() {
        val row = newestRow ?: return
        val version = registeredVersion ?: return
        val transaction = RowTransaction(
            expected = mapOf(entryKey to version),
            puts = mapOf(leaseKey to nextLease(row)),
        )
        send(transaction) { status, _ ->
            if (status == CONFLICT && row == newestRow) {
                decisions.write("own row was replaced or removed") { mapOf("entry" to ownId, "version" to version) }
                register(row)
            }
        }
    }

    /** Removes the row and the lease of [id] unless they have changed since they had these versions. */
    fun remove(id: DaemonId, rowVersion: Long, leaseVersion: Long) {
        val row = RowKey(WireTables.ENTRIES, id.value)
        val lease = RowKey(WireTables.LEASES, id.value)
        val transaction = RowTransaction(
            expected = mapOf(row to rowVersion, lease to leaseVersion),
            removals = listOfNotNull(row, lease.takeIf { leaseVersion > 0 }),
        )
        call(transaction) { status, _ ->
            decisions.write("expired entry removed") { mapOf("entry" to id, "status" to status) }
        }
    }

    private fun send(transaction: RowTransaction, ended: (status: Int?, version: Long?) -> Unit) {
        val sentAt = thread.now()
        call(transaction) { status, version ->
            if (status == OK) onRenewed(sentAt)
            ended(status, version)
        }
    }

    private fun call(transaction: RowTransaction, ended: (status: Int?, version: Long?) -> Unit) {
        val headers = DefaultHttpHeaders().add("Host", store.toString()).add("Content-Type", "application/json")
        val body = StoreCodec.encode(transaction).encodeToByteArray()
        val request = OutboundRequest(HttpMethod.POST, WirePaths.ROWS_TRANSACTION, headers, body)
        exchange.send(store, request, RESPONSE_TIMEOUT) { outcome ->
            val response = (outcome as? ExchangeOutcome.Completed)?.response
            ended(response?.head?.status, response?.let { StoreCodec.decodeVersion(it.text) })
        }
    }

    private fun retry(row: EntryRow) {
        thread.after(backoff) { if (row == newestRow) register(row) }
        backoff = (backoff * 2).coerceAtMost(MAXIMUM_BACKOFF)
    }

    /** Differs from every earlier text of the lease, also of earlier runs of this entry. */
    private fun nextLease(row: EntryRow): String = (row.run + renewalCount++).toString()

    private companion object {
        const val OK = 200
        const val CONFLICT = 412
        val RESPONSE_TIMEOUT: Duration = 3.seconds
        val INITIAL_BACKOFF = 1.seconds
        val MAXIMUM_BACKOFF = 10.seconds
    }
}
