package org.bilberryhead.core.propagation

import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.Changes
import org.bilberryhead.core.message.FetchChanges
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Snapshot
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables

/**
 * Two different changes claim the same version. The replica keeps the one that it has.
 *
 * @property applied the change that this replica applied
 * @property rejected the change that was refused
 */
data class VersionConflict(val version: TableVersion, val applied: ChangeId, val rejected: ChangeId)

/** What came of offering changes to a [TableReplica]. */
data class MergeResult(val versionAdvanced: Boolean, val conflicts: List<VersionConflict> = emptyList())

/**
 * Limits of what a replica keeps for processes that are behind.
 *
 * @property changes number of changes kept
 * @property endpoints number of endpoint rows in them, which make up most of their size
 * @property identifiers number of versions whose change id is remembered
 */
data class HistoryLimits(val changes: Int = 500, val endpoints: Int = 20_000, val identifiers: Int = 4_096)

/**
 * The newest tables that this process knows, with the recent changes that it can pass on. Versions only grow, and a
 * version is never taken from two different changes.
 *
 * Not safe for use by several threads; [tables] is an immutable snapshot that may be handed to others.
 */
class TableReplica(private val limits: HistoryLimits = HistoryLimits()) {
    private val history = ArrayDeque<TableChange>()
    private val identifiers = LinkedHashMap<TableVersion, ChangeId>()
    private var historyEndpoints = 0

    /** The newest tables. */
    var tables: Tables = Tables()
        private set

    /** The version of [tables]. */
    val version: TableVersion get() = tables.version

    /** The change that made the present version, if it is known. */
    val newestChange: ChangeId? get() = identifiers[version]

    /** Applies those of [changes] that follow the present version; returns whether the version advanced. */
    fun applyChanges(changes: List<TableChange>): Boolean = merge(changes).versionAdvanced

    /** Takes [newer] as a whole if it is newer; returns whether it was. */
    fun applySnapshot(newer: Tables): Boolean = merge(Snapshot(newer)).versionAdvanced

    /** Applies those of [changes] that follow the present version and reports those that contradict it. */
    fun merge(changes: List<TableChange>): MergeResult {
        val before = version
        val conflicts = mutableListOf<VersionConflict>()
        for (change in changes.sortedBy { it.baseVersion }) {
            when {
                change.baseVersion == version -> apply(change)
                change.version <= version -> contradiction(change.version, change.id)?.let { conflicts += it }
            }
        }
        return MergeResult(version > before, conflicts)
    }

    /** Takes the tables of [snapshot] as a whole if they are newer, and reports a contradiction. */
    fun merge(snapshot: Snapshot): MergeResult {
        val newer = snapshot.tables
        if (newer.version <= version) {
            return MergeResult(false, listOfNotNull(snapshot.change?.let { contradiction(newer.version, it) }))
        }
        tables = newer
        history.clear()
        historyEndpoints = 0
        snapshot.change?.let { identify(newer.version, it) }
        return MergeResult(true)
    }

    /** Returns the present tables as a message. */
    fun snapshot(): Snapshot = Snapshot(tables, newestChange)

    /** Returns what brings a process at version [fetch].after to the present one, or null when it needs nothing. */
    fun answer(fetch: FetchChanges): Message? {
        if (fetch.after >= version) return null
        val missing = history.filter { it.baseVersion >= fetch.after }
        val isWhole = missing.firstOrNull()?.baseVersion == fetch.after
        return if (isWhole) Changes(missing) else snapshot()
    }

    private fun apply(change: TableChange) {
        tables = change.applyTo(tables)
        identify(change.version, change.id)
        history += change
        historyEndpoints += endpointsIn(change)
        while (history.size > limits.changes || (historyEndpoints > limits.endpoints && history.size > 1)) {
            historyEndpoints -= endpointsIn(history.removeFirst())
        }
    }

    private fun identify(version: TableVersion, id: ChangeId) {
        identifiers[version] = id
        if (identifiers.size > limits.identifiers) identifiers.remove(identifiers.keys.first())
    }

    private fun contradiction(version: TableVersion, offered: ChangeId): VersionConflict? {
        val applied = identifiers[version] ?: return null
        return if (applied == offered) null else VersionConflict(version, applied, offered)
    }

    private fun endpointsIn(change: TableChange): Int = change.putPools.sumOf { it.endpoints.size }
}
