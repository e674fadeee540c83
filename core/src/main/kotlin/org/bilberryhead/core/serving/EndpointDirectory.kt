package org.bilberryhead.core.serving

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * What an endpoint says of itself in the platform's store.
 *
 * @property startedAt when this run of the endpoint began, in milliseconds since 1970; tells runs under one id apart
 * @property isDraining whether it has said that it leaves
 */
data class EndpointEntry(
    val id: EndpointId,
    val pool: PoolName,
    val address: SocketAddress,
    val dataCentre: DataCentre,
    val slots: Int,
    val isDraining: Boolean,
    val startedAt: Long,
)

/** A change of belief about one endpoint. */
sealed interface EndpointChange {
    /** The endpoint that changed. */
    val id: EndpointId

    /** The endpoint may be used. */
    data class Appeared(val entry: EndpointEntry) : EndpointChange {
        override val id: EndpointId get() = entry.id
    }

    /** The endpoint gets nothing new. */
    data class Draining(override val id: EndpointId) : EndpointChange

    /** The endpoint is not listed any more; it gets nothing new. */
    data class Gone(override val id: EndpointId) : EndpointChange

    /** The entry lapsed while the store was away; the endpoint is used until it is known to be gone. */
    data class Lapsed(override val id: EndpointId) : EndpointChange
}

/**
 * Which endpoints may be used, after the entries in the platform's store.
 *
 * Entries may lapse while the store is away. They return within [returnTime] of its end, so a removal that is read in
 * that time is believed only once the time is over.
 */
class EndpointDirectory(private val returnTime: Duration = 2.seconds - 200.milliseconds) {
    private val entries = mutableMapOf<EndpointId, EndpointEntry>()
    private val lapsed = mutableMapOf<EndpointId, Instant>()
    private var doubtUntil: Instant? = null
    private var usable: Map<PoolName, List<EndpointEntry>> = emptyMap()

    /** Endpoints of [pool] that may get new work, by id. */
    fun usable(pool: PoolName): List<EndpointEntry> = usable[pool].orEmpty()

    /** The entry of [id], also when it is draining; null once it is gone. */
    fun entry(id: EndpointId): EndpointEntry? = entries[id]

    /** The entry of the endpoint that listens on [address], also when it is draining; null without one. */
    fun entryAt(address: SocketAddress): EndpointEntry? = entries.values.firstOrNull { it.address == address }

    /** Whether no endpoint is known at all. */
    val isEmpty: Boolean get() = entries.isEmpty()

    /** The store answers again after an outage. */
    fun recordStoreRecovery(now: Instant) {
        doubtUntil = now + returnTime
    }

    /** Takes [listed], everything that the store holds as of one moment. */
    fun replaceAll(listed: List<EndpointEntry>, now: Instant): List<EndpointChange> {
        val present = listed.mapTo(mutableSetOf()) { it.id }
        val missing = entries.keys.filter { it !in present }
        return published(listed.mapNotNull(::put) + missing.mapNotNull { remove(it, now) })
    }

    /** Takes changed entries and the ids of those that were removed. */
    fun update(changed: List<EndpointEntry>, removed: List<EndpointId>, now: Instant): List<EndpointChange> =
        published(changed.mapNotNull(::put) + removed.mapNotNull { remove(it, now) })

    /** Drops lapsed entries whose time to return is over. */
    fun dropExpired(now: Instant): List<EndpointChange> {
        val due = lapsed.filterValues { it <= now }.keys.toList()
        if (due.isEmpty()) return emptyList()
        return published(due.map(::drop))
    }

    private fun put(entry: EndpointEntry): EndpointChange? {
        lapsed.remove(entry.id)
        val before = entries.put(entry.id, entry)
        return when {
            entry.isDraining && before?.isDraining != true -> EndpointChange.Draining(entry.id)
            before == null || before.startedAt != entry.startedAt -> EndpointChange.Appeared(entry)
            else -> null
        }
    }

    private fun remove(id: EndpointId, now: Instant): EndpointChange? {
        val entry = entries[id] ?: return null
        val end = doubtUntil
        if (end == null || end <= now || entry.isDraining) return drop(id)
        return if (lapsed.putIfAbsent(id, end) == null) EndpointChange.Lapsed(id) else null
    }

    private fun drop(id: EndpointId): EndpointChange {
        entries.remove(id)
        lapsed.remove(id)
        return EndpointChange.Gone(id)
    }

    private fun published(changes: List<EndpointChange>): List<EndpointChange> {
        usable = entries.values.filter { !it.isDraining }.sortedBy { it.id }.groupBy { it.pool }
        return changes
    }
}
