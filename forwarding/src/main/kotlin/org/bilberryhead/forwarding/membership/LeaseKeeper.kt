package org.bilberryhead.forwarding.membership

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.store.EntryRow
import org.bilberryhead.forwarding.store.StoreWriter
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.RowTransaction
import org.bilberryhead.platform.wire.StoreRow
import org.bilberryhead.platform.wire.StoreVersion
import org.bilberryhead.platform.wire.WireTables
import kotlin.random.Random
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
    private val writer: StoreWriter,
    private val thread: EventThread,
    private val decisions: DecisionLog,
    private val random: Random,
    private val onRenewed: (sentAt: Instant) -> Unit,
) {
    private val entryKey = RowKey(WireTables.ENTRIES, ownId.value)
    private val leaseKey = RowKey(WireTables.LEASES, ownId.value)
    private var newestRow: EntryRow? = null
    private var registeredVersion: StoreVersion? = null
    private var renewalCount = 0
    private var backoff = INITIAL_BACKOFF

    /** Registers [row]; it replaces a row that is still being retried. */
    fun register(row: EntryRow) {
        newestRow = row
        registeredVersion = null
        val puts = mapOf(entryKey to row.encode(), leaseKey to nextLease(row))
        send(RowTransaction(puts = puts)) { status, version ->
            decisions.write("entry registered") {
                mapOf(
                    "entry" to ownId,
                    "leaving" to row.isLeaving,
                    "status" to status,
                    "again" to (status != StoreWriter.OK),
                )
            }
            if (status != StoreWriter.OK) {
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
            if (status == StoreWriter.CONFLICT && row == newestRow) {
                decisions.write("own row was replaced or removed") { mapOf("entry" to ownId, "version" to version) }
                register(row)
            }
        }
    }

    /**
     * Registers the row again after the store has come back from a copy in which it is [listed] otherwise, or null.
     * The other entries wait for it, so that not all entries have to write at once.
     */
    fun storeRestored(listed: StoreRow?) {
        val row = newestRow ?: return
        if (listed?.value == row.encode()) {
            registeredVersion = listed.version
            return
        }
        decisions.write("own row was lost by the store") { mapOf("entry" to ownId, "version" to registeredVersion) }
        thread.after(REGISTRATION_SPREAD * random.nextDouble()) { if (row == newestRow) register(row) }
    }

    /** Removes the row and the lease of [id] unless they have changed since they had these versions. */
    fun remove(id: DaemonId, rowVersion: StoreVersion, leaseVersion: StoreVersion?) {
        val row = RowKey(WireTables.ENTRIES, id.value)
        val lease = RowKey(WireTables.LEASES, id.value)
        val transaction = RowTransaction(
            expected = mapOf(row to rowVersion, lease to leaseVersion),
            removals = listOfNotNull(row, lease.takeIf { leaseVersion != null }),
        )
        writer.write(transaction) { status, _ ->
            decisions.write("expired entry removed") { mapOf("entry" to id, "status" to status) }
        }
    }

    private fun send(transaction: RowTransaction, ended: (status: Int?, version: StoreVersion?) -> Unit) {
        val sentAt = thread.now()
        writer.write(transaction) { status, version ->
            if (status == StoreWriter.OK) onRenewed(sentAt)
            ended(status, version)
        }
    }

    private fun retry(row: EntryRow) {
        thread.after(backoff) { if (row == newestRow) register(row) }
        backoff = (backoff * 2).coerceAtMost(MAXIMUM_BACKOFF)
    }

    /** Differs from every earlier text of the lease, also of earlier runs of this entry. */
    private fun nextLease(row: EntryRow): String = (row.run + renewalCount++).toString()

    private companion object {
        val INITIAL_BACKOFF = 1.seconds
        val MAXIMUM_BACKOFF = 10.seconds

        /** Time over which hundreds of entries distribute their writes after the store has lost their rows. */
        val REGISTRATION_SPREAD = 4.seconds
    }
}
