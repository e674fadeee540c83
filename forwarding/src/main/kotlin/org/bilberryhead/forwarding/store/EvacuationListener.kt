package org.bilberryhead.forwarding.store

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.platform.wire.StoreRow
import org.bilberryhead.platform.wire.WireTables
import kotlin.time.Instant

/**
 * Follows the rows by which operators evacuate data centres.
 *
 * @param lastReadAt returns up to when the rows read from the store are complete; null before the first read
 * @param apply applies the set of evacuated data centres after it has changed
 */
internal class EvacuationListener(
    private val decisions: DecisionLog,
    private val lastReadAt: () -> Instant?,
    private val apply: (Set<DataCentre>) -> Unit,
) : TableListener {
    private var peerKnowledgeAt: Instant? = null

    /** The evacuated data centres, as far as this entry knows. */
    var evacuated: Set<DataCentre> = emptySet()
        private set

    /** When [evacuated] was in the store; null while this entry has learnt it from neither the store nor a peer. */
    val knownAt: Instant? get() = listOfNotNull(lastReadAt(), peerKnowledgeAt).maxOrNull()

    override fun onTableRead(rows: List<StoreRow>, afterOutage: Boolean) = replace(changed(emptySet(), rows))

    override fun onRowsChanged(rows: List<StoreRow>) = replace(changed(evacuated, rows))

    /** Takes over what a peer knows of the state of the store at [asOf], unless this entry knows a later one. */
    fun replaceFromPeer(dataCentres: Set<DataCentre>, asOf: Instant) {
        if (knownAt?.let { asOf <= it } == true) return
        peerKnowledgeAt = asOf
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
}
