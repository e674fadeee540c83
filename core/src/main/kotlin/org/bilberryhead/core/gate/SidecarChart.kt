package org.bilberryhead.core.gate

import org.bilberryhead.core.statechart.StateChart

/** The state of a sidecar process. */
enum class SidecarState { STARTING, SERVING, LEAVING, STOPPED }

/** An event that changes the state of a sidecar. */
enum class SidecarEvent { READY, LEAVE, DRAINED }

/** What a sidecar does when its state changes. */
enum class SidecarAction { ANNOUNCE, STOP }

/** The state chart of a sidecar process. */
object SidecarChart {
    /** Loaded once from `statecharts/sidecar.yaml`. */
    val chart: StateChart<SidecarState, SidecarEvent, SidecarAction> = StateChart.load("/statecharts/sidecar.yaml")
}
