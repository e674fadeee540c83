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

    private val rows = mutableMapOf<EndpointId, ReadRow>()

    /** Texts of the known endpoints' rows by endpoint id, for entries that cannot read the store. */
    val newestTexts: Map<String, String> get() = rows.entries.associate { (id, row) -> id.value to row.text }

    /** Replaces what this entry last read from the store by the rows that a peer knows. */
    fun replaceFromPeer(peerTexts: Map<String, String>) {
        val entries = peerTexts.mapNotNull { (id, text) -> decode(id, text, version = null) }
        apply(directory.replaceAll(entries, thread.now()))
    }

    override fun onTableRead(rows: List<StoreRow>, reading: TableReading) {
        val now = thread.now()
        if (reading.afterOutage || reading.afterRestore) directory.recordStoreRecovery(now)
        apply(directory.replaceAll(rows.mapNotNull(::decode), now))
    }

    override fun onRowsChanged(rows: List<StoreRow>) {
        val newestRows = rows.associateBy { it.key }.values
        val entries = newestRows.mapNotNull(::decode)
        val readable = entries.mapTo(mutableSetOf()) { it.id }
        val removed = newestRows.map { EndpointId(it.key) }.filter { it !in readable }
        apply(directory.update(entries, removed, thread.now()))
    }

    /** Removes endpoints that have been expired for too long. */
    fun removeExpired() = apply(directory.dropExpired(thread.now()))

    private fun decode(row: StoreRow): EndpointEntry? = row.value?.let { decode(row.key, it, row.version) }

    private fun decode(id: String, text: String, version: StoreVersion?): EndpointEntry? {
        val entry = EndpointEntryDecoder.decode(id, text)
        if (entry == null) {
            decisions.write("endpoint entry unreadable") { mapOf("endpoint" to id) }
        } else {
            recordRow(entry, ReadRow(text, version))
        }
        return entry
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
        for (change in changes) {
            decisions.write("endpoint changed") {
                mapOf("endpoint" to change.id, "change" to change::class.simpleName, "pool" to poolOf(change))
            }
        }
        if (changes.isNotEmpty()) onChange()
    }

    private fun poolOf(change: EndpointChange) = (change as? EndpointChange.Appeared)?.entry?.pool
}
