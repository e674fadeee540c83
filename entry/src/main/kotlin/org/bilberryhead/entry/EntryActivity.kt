package org.bilberryhead.entry

/** What the status page tells of the entry's own work. */
interface EntryActivity {
    /** Whether the entry takes no new requests because it ends. */
    val isDraining: Boolean

    /** Requests that have no answer yet. */
    val requestsInFlight: Int

    /** An entry that does nothing. */
    data object None : EntryActivity {
        override val isDraining = false
        override val requestsInFlight = 0
    }
}
