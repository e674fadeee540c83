package org.bilberryhead.core.propagation

import org.bilberryhead.core.tables.Tables
import java.util.concurrent.atomic.AtomicReference

/**
 * The tables in force, for readers on any thread. Whoever has read a version never reads an older one afterwards, also
 * when several threads publish. Safe for use by several threads; no call waits for another.
 */
class PublishedTables {
    private val current = AtomicReference(Tables())

    /** The newest tables published; version 0 and empty at first. */
    val tables: Tables get() = current.get()

    /** Publishes [newer] unless tables at least as new are published; returns whether it did. */
    fun publish(newer: Tables): Boolean {
        while (true) {
            val before = current.get()
            if (before.version >= newer.version) return false
            if (current.compareAndSet(before, newer)) return true
        }
    }
}
