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
 * The entry by which an endpoint registers itself in the platform's store.
 *
 * @property startedAt when this run of the endpoint started, in milliseconds since 1970; differs after a restart
 * @property isDraining whether the endpoint has announced that it is shutting down
 * @property coldTimeLeft how much longer the endpoint was cold when it wrote the entry; zero when it was warm
 * @property sequence place of the entry among those of its run; null when they have no order
 */
data class EndpointEntry(
    val id: EndpointId,
    val pool: PoolName,
    val address: SocketAddress,
    val dataCentre: DataCentre,
    val slots: Int,
    val isDraining: Boolean,
    val startedAt: Long,
    val coldTimeLeft: Duration = Duration.ZERO,
    val sequence: Long? = null,
) {
    /** The run of the endpoint that this entry is about. */
    val run: EndpointRun get() = EndpointRun(id, startedAt)

    /** Returns whether this entry is about a run before that of [other]. Runs without an order are not compared. */
    fun isOfEarlierRunThan(other: EndpointEntry): Boolean =
        sequence != null && other.sequence != null && startedAt < other.startedAt

    /** Returns whether this entry was written before [other] in the same run. */
    fun isEarlierInRunThan(other: EndpointEntry): Boolean =
        run == other.run && sequence != null && other.sequence != null && sequence < other.sequence
}

/** A change in what is known about one endpoint. */
sealed interface EndpointChange {
    /** The endpoint that changed. */
    val id: EndpointId

    /** The endpoint was registered or restarted, and may be used. */
    data class Appeared(val entry: EndpointEntry) : EndpointChange {
        override val id: EndpointId get() = entry.id
    }

    /** The endpoint is shutting down and gets no new work. */
    data class Draining(override val id: EndpointId) : EndpointChange

    /** The endpoint is no longer registered and gets no new work. */
    data class Gone(override val id: EndpointId) : EndpointChange

    /** The entry expired during an outage of the store; the endpoint is used until it should have registered again. */
    data class Lapsed(override val id: EndpointId) : EndpointChange
}

/**
 * Holds the endpoints that may be used, according to the entries in the platform's store and to the endpoints
 * themselves: a run that has announced that it leaves counts as draining, whatever is listed then or later.
 *
 * Entries may be read in any order and more than once: a heartbeat can reach the store late, the store can come back
 * from a copy, and a peer can know less than this entry. The last entry of the last run counts. One of an earlier run,
 * and one from before a removal, counts only if it is still listed after [HOLD_PERIOD].
 *
 * Entries may expire during an outage of the store. The endpoints register again within [reregistrationPeriod] after
 * the outage, so a removal that is read in that time takes effect only when the time is over.
 *
 * Endpoints of an evacuated data centre stay in the directory and are not usable.
 *
 * @param reregistrationPeriod 2 s less the 200 ms between two calls of [dropExpired], so that a removal takes effect at
 *   most 2 s after the outage
 */
class EndpointDirectory(private val reregistrationPeriod: Duration = 2.seconds - 200.milliseconds) {
    /** An entry that is older than what is known, and counts if it is still listed at [dueAt]. */
    private class HeldEntry(val entry: EndpointEntry, val dueAt: Instant)

    private val entries = mutableMapOf<EndpointId, EndpointEntry>()
    private val removalDueAt = mutableMapOf<EndpointId, Instant>()
    private val leavingRuns = LeavingRuns()
    private val goneRuns = GoneRuns()
    private val heldEntries = mutableMapOf<EndpointId, HeldEntry>()
    private var holdsRestoredUntil: Instant? = null
    private var reregistrationEnd: Instant? = null
    private var usable: Map<PoolName, List<EndpointEntry>> = emptyMap()

    /** The data centres whose endpoints get no new work, whatever their entries say. */
    var evacuated: Set<DataCentre> = emptySet()
        set(value) {
            field = value
            updateUsable()
        }

    /** Number of endpoints in the evacuated data centres. */
    val evacuatedCount: Int get() = entries.values.count(::isEvacuated)

    /** Endpoints of [pool] that may get new work, sorted by id. */
    fun usable(pool: PoolName): List<EndpointEntry> = usable[pool].orEmpty()

    /** The entry of [id], which may be draining, or null when it is not registered. */
    fun entry(id: EndpointId): EndpointEntry? = entries[id]

    /** The entry of the endpoint that listens on [address], which may be draining, or null when there is none. */
    fun entryAt(address: SocketAddress): EndpointEntry? = entries.values.firstOrNull { it.address == address }

    /** The runs of other endpoints that are registered at the address of [entry]; they may be draining. */
    fun othersAtAddressOf(entry: EndpointEntry): List<EndpointRun> =
        entries.values.filter { it.address == entry.address && it.id != entry.id }.map { it.run }

    /** The entries of the endpoints in [dataCentres]. */
    fun entriesIn(dataCentres: Set<DataCentre>): List<EndpointEntry> =
        if (dataCentres.isEmpty()) emptyList() else entries.values.filter { it.dataCentre in dataCentres }

    /** Returns whether the endpoint of [entry] is in an evacuated data centre. */
    fun isEvacuated(entry: EndpointEntry): Boolean = entry.dataCentre in evacuated

    /** Whether no endpoint is known. */
    val isEmpty: Boolean get() = entries.isEmpty()

    /** Records that the store responds again after an outage. */
    fun recordStoreRecovery(now: Instant) {
        reregistrationEnd = now + reregistrationPeriod
    }

    /** Records that the store has come back from a copy, which may list endpoints that are gone. */
    fun recordStoreRestore(now: Instant) {
        recordStoreRecovery(now)
        holdsRestoredUntil = now + HOLD_PERIOD
    }

    /** Returns whether what is known of an endpoint is [entry], and no later one. */
    fun isCurrent(entry: EndpointEntry): Boolean =
        entries[entry.id]?.let { it.run == entry.run && it.sequence == entry.sequence } ?: false

    /** Returns whether an entry of [id] is older than what is known, and may count later. */
    fun isHeld(id: EndpointId): Boolean = id in heldEntries

    /** Replaces all entries by [listed], a complete listing of the store, and returns the changes. */
    fun replaceAll(listed: List<EndpointEntry>, now: Instant): List<EndpointChange> {
        val present = listed.mapTo(mutableSetOf()) { it.id }
        val missing = entries.keys.filter { it !in present }
        heldEntries.keys.retainAll(present)
        return updateUsable(listed.mapNotNull { register(it, now) } + missing.mapNotNull { remove(it, now) })
    }

    /** Applies changed entries and the ids of those that were removed, and returns the changes. */
    fun update(changed: List<EndpointEntry>, removed: List<EndpointId>, now: Instant): List<EndpointChange> =
        updateUsable(changed.mapNotNull { register(it, now) } + removed.mapNotNull { remove(it, now) })

    /** Records that [run] has announced itself that it leaves, and returns the changes. */
    fun recordLeaving(run: EndpointRun): List<EndpointChange> {
        if (!leavingRuns.add(run)) return emptyList()
        val entry = entries[run.id]?.takeIf { it.run == run } ?: return emptyList()
        return updateUsable(listOfNotNull(put(entry)))
    }

    /**
     * Drops expired entries whose endpoints have not registered again in time, accepts older entries that are still
     * listed, and returns the changes.
     */
    fun dropExpired(now: Instant): List<EndpointChange> {
        val due = removalDueAt.filterValues { it <= now }.keys.toList()
        val accepted = heldEntries.values.filter { it.dueAt <= now }.map { it.entry }
        if (due.isEmpty() && accepted.isEmpty()) return emptyList()
        heldEntries.keys.removeAll(accepted.mapTo(mutableSetOf()) { it.id })
        return updateUsable(due.map(::drop) + accepted.mapNotNull(::put))
    }

    private fun register(listed: EndpointEntry, now: Instant): EndpointChange? {
        removalDueAt.remove(listed.id)
        if (listed.isDraining && listed.sequence != null) leavingRuns.add(listed.run)
        val known = entries[listed.id]
        if (isOutdated(listed, known, now)) return hold(listed, now)
        heldEntries.remove(listed.id)
        return put(if (known != null && listed.isEarlierInRunThan(known)) known else listed)
    }

    private fun isOutdated(listed: EndpointEntry, known: EndpointEntry?, now: Instant): Boolean {
        if (known != null) return listed.isOfEarlierRunThan(known)
        val isRestored = holdsRestoredUntil?.let { now < it } ?: false
        return goneRuns.isEarlier(listed, orThatReport = isRestored)
    }

    private fun hold(listed: EndpointEntry, now: Instant): EndpointChange? {
        val dueAt = heldEntries[listed.id]?.dueAt ?: (now + HOLD_PERIOD)
        heldEntries[listed.id] = HeldEntry(listed, dueAt)
        return null
    }

    private fun put(listed: EndpointEntry): EndpointChange? {
        val entry = listed.copy(isDraining = listed.isDraining || listed.run in leavingRuns)
        val previous = entries.put(entry.id, entry)
        return when {
            entry.isDraining && previous?.isDraining != true -> EndpointChange.Draining(entry.id)
            previous == null || previous.startedAt != entry.startedAt -> EndpointChange.Appeared(entry)
            else -> null
        }
    }

    private fun remove(id: EndpointId, now: Instant): EndpointChange? {
        heldEntries.remove(id)
        val entry = entries[id] ?: return null
        val end = reregistrationEnd
        if (end == null || end <= now || entry.isDraining) return drop(id)
        return if (removalDueAt.putIfAbsent(id, end) == null) EndpointChange.Lapsed(id) else null
    }

    private fun drop(id: EndpointId): EndpointChange {
        entries.remove(id)?.let(goneRuns::add)
        removalDueAt.remove(id)
        return EndpointChange.Gone(id)
    }

    private fun updateUsable(changes: List<EndpointChange>): List<EndpointChange> {
        updateUsable()
        return changes
    }

    private fun updateUsable() {
        usable = entries.values.filter { !it.isDraining && !isEvacuated(it) }.sortedBy { it.id }.groupBy { it.pool }
    }

    /** Time for which an older entry does not count. */
    companion object {
        /**
         * Longer than the three heartbeat intervals of 1.2 s after which the store removes the entry of an endpoint
         * that is silent.
         */
        val HOLD_PERIOD: Duration = 5.seconds
    }
}
