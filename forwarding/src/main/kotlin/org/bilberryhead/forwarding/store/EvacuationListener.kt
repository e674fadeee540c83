package org.bilberryhead.forwarding.store

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.platform.wire.StoreRow
import org.bilberryhead.platform.wire.WireTables
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Follows the rows by which operators evacuate data centres. After the store has come back from a copy, no evacuation
 * ends because its row is missing before the operator had the time to write it again.
 *
 * @param lastReadAt returns up to when the rows read from the store are complete; null before the first read
 * @param apply applies the set of evacuated data centres after it has changed
 */
internal class EvacuationListener(
    private val decisions: DecisionLog,
    private val now: () -> Instant,
    private val lastReadAt: () -> Instant?,
    private val apply: (Set<DataCentre>) -> Unit,
) : TableListener {
    private var peerKnowledgeAt: Instant? = null

    /** What the store lists; [evacuated] has more data centres while rows may be missing from it. */
    private var listed: Set<DataCentre> = emptySet()
    private var rewriteEnd: Instant? = null

    /** The evacuated data centres, as far as this entry knows. */
    var evacuated: Set<DataCentre> = emptySet()
        private set

    /** When [evacuated] was in the store; null while this entry has learnt it from neither the store nor a peer. */
    val knownAt: Instant? get() = listOfNotNull(lastReadAt(), peerKnowledgeAt).maxOrNull()

    override fun onTableRead(rows: List<StoreRow>, reading: TableReading) {
        if (reading.afterRestore) rewriteEnd = now() + REWRITE_PERIOD
        listed = changed(emptySet(), rows)
        replace(if (rewriteEnd == null) listed else evacuated + listed)
    }

    override fun onRowsChanged(rows: List<StoreRow>) {
        listed = changed(listed, rows)
        replace(changed(evacuated, rows))
    }

    /** Ends evacuations whose rows are still missing from a store that has come back. To be called regularly. */
    fun endMissing() {
        if (rewriteEnd?.let { now() < it } ?: true) return
        rewriteEnd = null
        replace(listed)
    }

    /** Takes over what a peer knows of the state of the store at [asOf], unless this entry knows a later one. */
    fun replaceFromPeer(dataCentres: Set<DataCentre>, asOf: Instant) {
        if (knownAt?.let { asOf <= it } == true) return
        peerKnowledgeAt = asOf
        rewriteEnd = null
        replace(dataCentres)
    }

    private fun changed(before: Set<DataCentre>, rows: List<StoreRow>): Set<DataCentre> =
        rows.fold(before) { dataCentres, row ->
            val dataCentre = WireTables.evacuatedDataCentre(row.key)
            when {
                dataCentre == null -> dataCentres
                row.value == null -> dataCentres - dataCentre
                else -> dataCentres + dataCentre
            }
        }

    private fun replace(dataCentres: Set<DataCentre>) {
        if (dataCentres == evacuated) return
        apply(dataCentres)
        val before = evacuated
        // Only now: a set that could not be applied is applied when it is read again.
        evacuated = dataCentres
        (dataCentres - before).forEach { log("data centre evacuated", it) }
        (before - dataCentres).forEach { log("evacuation withdrawn", it) }
    }

    private fun log(message: String, dataCentre: DataCentre) =
        decisions.write(message) { mapOf("data_centre" to dataCentre) }

    private companion object {
        /** Time after which operators have written their rows again, as endpoints have theirs. */
        val REWRITE_PERIOD = 2.seconds
    }
}
