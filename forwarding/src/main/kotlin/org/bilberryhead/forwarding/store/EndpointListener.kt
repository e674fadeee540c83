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
    private val texts = mutableMapOf<EndpointId, String>()

    /** Texts of the known endpoints' rows by endpoint id, for entries that cannot read the store. */
    val newestTexts: Map<String, String> get() = texts.entries.associate { (id, text) -> id.value to text }

    /** Replaces what this entry last read from the store by the rows that a peer knows. */
    fun replaceFromPeer(peerTexts: Map<String, String>) =
        apply(directory.replaceAll(peerTexts.mapNotNull { (id, text) -> decode(id, text) }, thread.now()))

    override fun onTableRead(rows: List<StoreRow>, afterOutage: Boolean) {
        val now = thread.now()
        if (afterOutage) directory.recordStoreRecovery(now)
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

    private fun decode(row: StoreRow): EndpointEntry? = row.value?.let { decode(row.key, it) }

    private fun decode(id: String, text: String): EndpointEntry? {
        val entry = EndpointEntryDecoder.decode(id, text)
        if (entry == null) {
            decisions.write("endpoint entry unreadable") { mapOf("endpoint" to id) }
        } else {
            texts[entry.id] = text
        }
        return entry
    }

    /** Applies [changes] that the directory has made. */
    fun apply(changes: List<EndpointChange>) {
        endpoints.applyChanges(changes)
        changes.forEach { if (it is EndpointChange.Gone) texts.remove(it.id) }
        for (change in changes) {
            decisions.write("endpoint changed") {
                mapOf("endpoint" to change.id, "change" to change::class.simpleName, "pool" to poolOf(change))
            }
        }
        if (changes.isNotEmpty()) onChange()
    }

    private fun poolOf(change: EndpointChange) = (change as? EndpointChange.Appeared)?.entry?.pool
}
