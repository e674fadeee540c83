package org.bilberryhead.core.gate

import org.bilberryhead.core.statechart.StateChart

/** Life of a sidecar process. */
enum class SidecarState { STARTING, SERVING, LEAVING, STOPPED }

/** What moves a sidecar through its life. */
enum class SidecarEvent { READY, LEAVE, DRAINED }

/** What a sidecar does on the way. */
enum class SidecarAction { ANNOUNCE, STOP }

/** The chart that every sidecar follows. */
object SidecarChart {
    /** Read once from its file. */
    val chart: StateChart<SidecarState, SidecarEvent, SidecarAction> = StateChart.load("/statecharts/sidecar.yaml")
}
