package org.bilberryhead.forwarding.store

import org.bilberryhead.platform.wire.StoreEra
import org.bilberryhead.platform.wire.StoreVersion

/** The newest era of the store that any of its responses to this entry had. */
internal class StoreEras {
    private var newest: StoreEra? = null
    private val listeners = mutableListOf<(StoreEra) -> Unit>()

    /** Calls [listener] when the store has come back from a copy. */
    fun onNewEra(listener: (StoreEra) -> Unit) {
        listeners += listener
    }

    /** Records the [era] of a response. Returns false when the response was made before the store came back. */
    fun record(era: StoreEra): Boolean {
        val known = newest
        if (known != null && era < known) return false
        newest = era
        if (known != null && era > known) listeners.forEach { it(era) }
        return true
    }

    /** Returns whether [version] is of an earlier era, so that its number may have been given out again. */
    fun isOutdated(version: StoreVersion): Boolean = newest?.let { version.era < it } ?: false
}
