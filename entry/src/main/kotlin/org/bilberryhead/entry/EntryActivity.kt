package org.bilberryhead.entry

/** The entry's own activity, as reported in the operators' status. */
interface EntryActivity {
    /** Whether the entry is shutting down. */
    val isDraining: Boolean

    /** Number of requests that have no complete response yet. */
    val requestsInFlight: Int

    /** An entry without callers' requests. */
    data object None : EntryActivity {
        override val isDraining = false
        override val requestsInFlight = 0
    }
}
