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
