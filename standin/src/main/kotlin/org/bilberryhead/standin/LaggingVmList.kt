package org.bilberryhead.standin

import org.bilberryhead.platform.ListedVm
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** A list of VMs that makes a change visible only after a lag. Safe for use by several threads. */
class LaggingVmList(private val time: TimeSource = TimeSource.Monotonic) {
    private class Version(val vms: List<ListedVm>, val visibleFrom: TimeMark)

    private val versions = ArrayDeque<Version>()

    /** Sets the list to [vms], which becomes visible once [lag] has passed. */
    @Synchronized
    fun set(vms: List<ListedVm>, lag: Duration) {
        versions.addLast(Version(vms, time.markNow() + lag))
    }

    /** Returns the latest list whose lag has passed, or an empty list if there is none. */
    @Synchronized
    fun visibleVms(): List<ListedVm> {
        val index = versions.indexOfLast { it.visibleFrom.hasPassedNow() }
        if (index < 0) return emptyList()
        repeat(index) { versions.removeFirst() }
        return versions.first().vms
    }
}
