package org.bilberryhead.core.propagation

import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.Changes
import org.bilberryhead.core.message.FetchChanges
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Snapshot
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables

/**
 * The newest tables that this process knows, with the recent changes that it can pass on. Versions only grow.
 *
 * Not safe for use by several threads; [tables] is an immutable snapshot that may be handed to others.
 *
 * @param historyLimit number of changes kept for others that are behind
 */
class TableReplica(private val historyLimit: Int = 1_000) {
    private val history = ArrayDeque<TableChange>()

    /** The newest tables. */
    var tables: Tables = Tables()
        private set

    /** The version of [tables]. */
    val version: TableVersion get() = tables.version

    /** Applies those of [changes] that follow the present version; returns whether the version grew. */
    fun applyChanges(changes: List<TableChange>): Boolean {
        val before = version
        for (change in changes.sortedBy { it.baseVersion }) {
            if (change.baseVersion != version) continue
            tables = change.applyTo(tables)
            remember(change)
        }
        return version > before
    }

    /** Takes [newer] as a whole if it is newer; returns whether it was. */
    fun applySnapshot(newer: Tables): Boolean {
        if (newer.version <= version) return false
        tables = newer
        history.clear()
        return true
    }

    /** Returns what brings a process at version [fetch].after to the present one, or null when it needs nothing. */
    fun answer(fetch: FetchChanges): Message? {
        if (fetch.after >= version) return null
        val missing = history.filter { it.baseVersion >= fetch.after }
        val isWhole = missing.firstOrNull()?.baseVersion == fetch.after
        return if (isWhole) Changes(missing) else Snapshot(tables)
    }

    private fun remember(change: TableChange) {
        history += change
        if (history.size > historyLimit) history.removeFirst()
    }
}
