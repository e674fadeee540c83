package org.bilberryhead.forwarding.endpoint

import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.core.serving.EndpointLoad
import org.bilberryhead.core.serving.EngineLoad
import org.bilberryhead.core.serving.LoadReport
import org.bilberryhead.core.serving.ServingPool
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * One process of an endpoint, from its start to its end: its directory entry, its load as known here, and the
 * connections to it.
 */
internal class Endpoint(val entry: EndpointEntry, pool: ServingPool?, val connections: EndpointConnections) {
    /** Load and failures, by which endpoints without an engine are selected. */
    val load = EndpointLoad(slots = entry.slots, expectedTime = INITIAL_RESPONSE_TIME)

    /** Load, cached prompt parts and speed of an engine; null when the pool runs no engines. */
    val engine: EngineLoad? = pool?.engine?.let(::EngineLoad)

    /** Records a load report that came with a response. */
    fun recordLoad(report: LoadReport, now: Instant) {
        load.recordReport(report, now)
        engine?.recordReport(report, now)
    }

    private companion object {
        val INITIAL_RESPONSE_TIME = 50.milliseconds
    }
}
