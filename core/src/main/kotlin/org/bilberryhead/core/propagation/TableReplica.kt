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
 * Two different changes have the same version. The replica keeps the one that it has applied.
 *
 * @property applied the change that the replica has applied
 * @property rejected the other change, which the replica ignores
 */
data class VersionConflict(val version: TableVersion, val applied: ChangeId, val rejected: ChangeId)

/** Result of merging changes or a snapshot into a [TableReplica]. */
data class MergeResult(val versionAdvanced: Boolean, val conflicts: List<VersionConflict> = emptyList())

/**
 * Limits of the history that a replica keeps for processes with older versions.
 *
 * @property changes maximum number of changes
 * @property endpoints maximum number of endpoint rows in these changes; the rows make up most of their size
 * @property changeIds maximum number of versions whose change ids are kept, to detect conflicting changes
 */
data class HistoryLimits(val changes: Int = 500, val endpoints: Int = 20_000, val changeIds: Int = 4_096)

/**
 * The newest tables that this process knows, with the recent changes that it can send to others. The version never
 * decreases, and the replica never applies two different changes for one version.
 *
 * Not thread-safe; [tables] is immutable and may be passed to other threads.
 */
class TableReplica(private val limits: HistoryLimits = HistoryLimits()) {
    private val history = ArrayDeque<TableChange>()
    private val changeIds = LinkedHashMap<TableVersion, ChangeId>()
    private var historyEndpointCount = 0

    /** The newest tables. */
    var tables: Tables = Tables()
        private set

    /** The version of [tables]. */
    val version: TableVersion get() = tables.version

    /** The change that made the current version, or null if it is not known. */
    val newestChange: ChangeId? get() = changeIds[version]

    /** Applies those of [changes] that follow the current version; returns whether the version advanced. */
    fun applyChanges(changes: List<TableChange>): Boolean = merge(changes).versionAdvanced

    /** Replaces the tables by [newer] if its version is higher; returns whether it was. */
    fun applySnapshot(newer: Tables): Boolean = merge(Snapshot(newer)).versionAdvanced

    /** Applies those of [changes] that follow the current version and reports those that conflict with applied ones. */
    fun merge(changes: List<TableChange>): MergeResult {
        val before = version
        val conflicts = mutableListOf<VersionConflict>()
        for (change in changes.sortedBy { it.baseVersion }) {
            when {
                change.baseVersion == version -> applyChange(change)
                change.version <= version -> conflictAt(change.version, change.id)?.let { conflicts += it }
            }
        }
        return MergeResult(version > before, conflicts)
    }

    /** Replaces the tables by those of [snapshot] if these are newer; reports a conflict if the snapshot has one. */
    fun merge(snapshot: Snapshot): MergeResult {
        val newer = snapshot.tables
        if (newer.version <= version) {
            return MergeResult(false, listOfNotNull(snapshot.change?.let { conflictAt(newer.version, it) }))
        }
        tables = newer
        history.clear()
        historyEndpointCount = 0
        snapshot.change?.let { recordChangeId(newer.version, it) }
        return MergeResult(true)
    }

    /** Returns the current tables as a message. */
    fun snapshot(): Snapshot = Snapshot(tables, newestChange)

    /**
     * Returns the changes after the version in [fetch], or the full tables if the history does not reach back that far;
     * null if this replica holds nothing newer.
     */
    fun responseTo(fetch: FetchChanges): Message? {
        if (fetch.after >= version) return null
        val missing = history.filter { it.baseVersion >= fetch.after }
        val isComplete = missing.firstOrNull()?.baseVersion == fetch.after
        return if (isComplete) Changes(missing) else snapshot()
    }

    private fun applyChange(change: TableChange) {
        tables = change.applyTo(tables)
        recordChangeId(change.version, change.id)
        history += change
        historyEndpointCount += endpointCountOf(change)
        while (history.size > limits.changes || (historyEndpointCount > limits.endpoints && history.size > 1)) {
            historyEndpointCount -= endpointCountOf(history.removeFirst())
        }
    }

    private fun recordChangeId(version: TableVersion, id: ChangeId) {
        changeIds[version] = id
        if (changeIds.size > limits.changeIds) changeIds.remove(changeIds.keys.first())
    }

    private fun conflictAt(version: TableVersion, other: ChangeId): VersionConflict? {
        val applied = changeIds[version] ?: return null
        return if (applied == other) null else VersionConflict(version, applied, other)
    }

    private fun endpointCountOf(change: TableChange): Int = change.putPools.sumOf { it.endpoints.size }
}
