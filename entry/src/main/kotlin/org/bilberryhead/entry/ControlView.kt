package org.bilberryhead.entry

import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.operator.PeerStatus

/** What the control thread knows of other processes at one point in time. */
data class ControlView(
    val peers: List<PeerStatus>,
    val sidecarVersions: Map<EndpointId, TableVersion?>,
    val loadReports: Map<EndpointId, LoadReport>,
)
