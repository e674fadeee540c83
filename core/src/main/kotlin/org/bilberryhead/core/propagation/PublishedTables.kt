package org.bilberryhead.core.propagation

import org.bilberryhead.core.tables.Tables
import java.util.concurrent.atomic.AtomicReference

/**
 * The current tables, for readers on any thread. A reader that has seen a version never sees an older one afterwards,
 * even when several threads publish. Thread-safe and lock-free.
 */
class PublishedTables {
    private val current = AtomicReference(Tables())

    /** The newest published tables; empty and at version 0 before the first call of [publish]. */
    val tables: Tables get() = current.get()

    /** Publishes [newer] unless its version is at most the published one; returns whether it was published. */
    fun publish(newer: Tables): Boolean {
        while (true) {
            val before = current.get()
            if (before.version >= newer.version) return false
            if (current.compareAndSet(before, newer)) return true
        }
    }
}
