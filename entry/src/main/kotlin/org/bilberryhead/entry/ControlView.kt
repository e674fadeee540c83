package org.bilberryhead.entry

import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.operator.PeerStatus

/** Snapshot of what the control thread knows about peers and sidecars. */
data class ControlView(
    val peers: List<PeerStatus>,
    val sidecarVersions: Map<EndpointId, TableVersion?>,
    val loadReports: Map<EndpointId, LoadReport>,
)
