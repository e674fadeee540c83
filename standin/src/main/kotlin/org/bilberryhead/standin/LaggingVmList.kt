package org.bilberryhead.standin

import org.bilberryhead.platform.ListedVm
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** A list of VMs that shows a change only after a lag. Safe for use by several threads. */
class LaggingVmList(private val time: TimeSource = TimeSource.Monotonic) {
    private class Version(val vms: List<ListedVm>, val shownFrom: TimeMark)

    private val versions = ArrayDeque<Version>()

    /** Sets the list to [vms]; it is shown once [lag] has passed. */
    @Synchronized
    fun set(vms: List<ListedVm>, lag: Duration) {
        versions.addLast(Version(vms, time.markNow() + lag))
    }

    /** Returns the list as it is shown now. */
    @Synchronized
    fun shown(): List<ListedVm> {
        val index = versions.indexOfLast { it.shownFrom.hasPassedNow() }
        if (index < 0) return emptyList()
        repeat(index) { versions.removeFirst() }
        return versions.first().vms
    }
}
