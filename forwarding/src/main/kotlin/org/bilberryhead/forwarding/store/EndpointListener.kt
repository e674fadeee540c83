package org.bilberryhead.forwarding.store

import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.serving.EndpointChange
import org.bilberryhead.core.serving.EndpointDirectory
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.endpoint.Endpoints
import org.bilberryhead.platform.wire.EndpointEntryDecoder
import org.bilberryhead.platform.wire.StoreRow
import org.bilberryhead.platform.wire.StoreVersion

/**
 * Updates the directory from the rows that endpoints write about themselves.
 *
 * @param onChange called after the directory has changed
 */
internal class EndpointListener(
    private val directory: EndpointDirectory,
    private val endpoints: Endpoints,
    private val thread: EventThread,
    private val decisions: DecisionLog,
    private val onChange: () -> Unit,
) : TableListener {
    /** What this entry last read about an endpoint; the version is unknown for a row that came from a peer. */
    private data class ReadRow(val text: String, val version: StoreVersion?)

    /** A row, and the entry that it holds. */
    private class DecodedRow(val entry: EndpointEntry, val row: ReadRow)

    private val rows = mutableMapOf<EndpointId, ReadRow>()

    /** Rows that were older than what the directory knew, and count if they are still listed after a while. */
    private val heldRows = mutableMapOf<EndpointId, DecodedRow>()

    /** Texts of the known endpoints' rows by endpoint id, for entries that cannot read the store. */
    val newestTexts: Map<String, String> get() = rows.entries.associate { (id, row) -> id.value to row.text }

    /** Replaces what this entry last read from the store by the rows that a peer knows. */
    fun replaceFromPeer(peerTexts: Map<String, String>) {
        val decoded = peerTexts.mapNotNull { (id, text) -> decode(id, text, version = null) }
        apply(decoded, directory.replaceAll(decoded.map { it.entry }, thread.now()))
    }

    override fun onTableRead(rows: List<StoreRow>, reading: TableReading) {
        val now = thread.now()
        if (reading.afterOutage) directory.recordStoreRecovery(now)
        if (reading.afterRestore) directory.recordStoreRestore(now)
        val decoded = rows.mapNotNull(::decode)
        apply(decoded, directory.replaceAll(decoded.map { it.entry }, now))
    }

    override fun onRowsChanged(rows: List<StoreRow>) {
        val decoded = rows.map { it to decode(it) }
        // The last row of an endpoint says whether it is removed; the rows before it may say that it leaves.
        val removed = decoded.associate { (row, entry) -> row.key to entry }.filterValues { it == null }.keys
        val listed = decoded.mapNotNull { (row, entry) -> entry?.takeIf { row.key !in removed } }
        apply(listed, directory.update(listed.map { it.entry }, removed.map(::EndpointId), thread.now()))
    }

    /** Removes endpoints that have been expired for too long, and accepts rows that are listed for long enough. */
    fun removeExpired() {
        val changes = directory.dropExpired(thread.now())
        apply(heldRows.values.filter { directory.isCurrent(it.entry) }, changes)
    }

    private fun decode(row: StoreRow): DecodedRow? = row.value?.let { decode(row.key, it, row.version) }

    private fun decode(id: String, text: String, version: StoreVersion?): DecodedRow? {
        val entry = EndpointEntryDecoder.decode(id, text)
        if (entry == null) decisions.write("endpoint entry unreadable") { mapOf("endpoint" to id) }
        return entry?.let { DecodedRow(it, ReadRow(text, version)) }
    }

    /** Applies [changes] that the directory has made because of [decoded] rows. */
    private fun apply(decoded: List<DecodedRow>, changes: List<EndpointChange>) {
        // Before the changes, so that nothing is sent to an endpoint that is not yet known to be cold.
        decoded.forEach(::record)
        apply(changes)
    }

    private fun record(decoded: DecodedRow) {
        val entry = decoded.entry
        if (directory.isCurrent(entry)) return recordRow(entry, decoded.row)
        val isHeld = directory.isHeld(entry.id)
        if (isHeld) heldRows[entry.id] = decoded
        decisions.write("earlier row of an endpoint") {
            mapOf("endpoint" to entry.id, "run" to entry.startedAt, "sequence" to entry.sequence, "held" to isHeld)
        }
    }

    /** Records [row]. Complete reads repeat known rows, whose remaining cold time counts from the first read. */
    private fun recordRow(entry: EndpointEntry, row: ReadRow) {
        val previous = rows.put(entry.id, row)
        val isKnown = previous?.text == row.text && (row.version == null || row.version == previous.version)
        if (!isKnown) endpoints.cold.rowRead(entry)
    }

    /** Applies [changes] that the directory has made. */
    fun apply(changes: List<EndpointChange>) {
        endpoints.applyChanges(changes)
        changes.forEach { if (it is EndpointChange.Gone) rows.remove(it.id) }
        heldRows.keys.retainAll(directory::isHeld)
        for (change in changes) {
            decisions.write("endpoint changed") {
                mapOf("endpoint" to change.id, "change" to change::class.simpleName, "pool" to poolOf(change))
            }
        }
        if (changes.isNotEmpty()) onChange()
    }

    private fun poolOf(change: EndpointChange) = (change as? EndpointChange.Appeared)?.entry?.pool
}
