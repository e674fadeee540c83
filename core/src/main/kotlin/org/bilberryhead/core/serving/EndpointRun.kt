package org.bilberryhead.core.serving

import org.bilberryhead.core.common.EndpointId

/** One run of an endpoint's process, [startedAt] milliseconds after 1970. An endpoint may restart under its id. */
data class EndpointRun(val id: EndpointId, val startedAt: Long)

/**
 * Remembers the runs of endpoints that have said themselves that they leave, whatever the store lists.
 *
 * @param maximumRuns number of runs that are remembered; the oldest are forgotten first
 */
internal class LeavingRuns(private val maximumRuns: Int = MAXIMUM_RUNS) {
    private val runs = LinkedHashSet<EndpointRun>()

    /** Remembers that [run] leaves; returns false when that was known. */
    fun add(run: EndpointRun): Boolean {
        if (!runs.add(run)) return false
        if (runs.size > maximumRuns) runs.remove(runs.first())
        return true
    }

    /** Returns whether [run] has said that it leaves. */
    operator fun contains(run: EndpointRun): Boolean = run in runs

    private companion object {
        /** Far more runs than end between the announcement of one and the removal of its entry everywhere. */
        const val MAXIMUM_RUNS = 4_096
    }
}

/**
 * Remembers the last report of the runs of endpoints whose entries were removed, so that an earlier report that is read
 * afterwards is known as such.
 *
 * @param maximumRuns number of runs that are remembered; the oldest are forgotten first
 */
internal class GoneRuns(private val maximumRuns: Int = MAXIMUM_RUNS) {
    private val lastSequences = LinkedHashMap<EndpointRun, Long>()

    /** Remembers that [entry] was removed. */
    fun add(entry: EndpointEntry) {
        val sequence = entry.sequence ?: return
        lastSequences[entry.run] = sequence
        if (lastSequences.size > maximumRuns) lastSequences.remove(lastSequences.keys.first())
    }

    /** Returns whether [entry] was reported before the last report of a run that was removed, or is [orThatReport]. */
    fun isEarlier(entry: EndpointEntry, orThatReport: Boolean): Boolean {
        val sequence = entry.sequence ?: return false
        val last = lastSequences[entry.run] ?: return false
        return sequence < last || (orThatReport && sequence == last)
    }

    private companion object {
        /** As many as [LeavingRuns] remembers. */
        const val MAXIMUM_RUNS = 4_096
    }
}
