package org.bilberryhead.forwarding.endpoint

import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.core.serving.EndpointLoad
import org.bilberryhead.core.serving.EngineLoad
import org.bilberryhead.core.serving.LoadReport
import org.bilberryhead.core.serving.ServingPool
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** One run of an endpoint: its entry, what this entry knows of its load, and the connections to it. */
internal class Endpoint(val entry: EndpointEntry, pool: ServingPool?, val connections: EndpointConnections) {
    /** Load and faults, for endpoints without an engine. */
    val load = EndpointLoad(slots = entry.slots, expectedTime = FIRST_ESTIMATE)

    /** Load, prompts and speed, for engines; null for others. */
    val engine: EngineLoad? = pool?.engine?.let(::EngineLoad)

    /** Takes a report that came with an answer. */
    fun reported(report: LoadReport, now: Instant) {
        load.recordReport(report, now)
        engine?.recordReport(report, now)
    }

    private companion object {
        val FIRST_ESTIMATE = 50.milliseconds
    }
}
