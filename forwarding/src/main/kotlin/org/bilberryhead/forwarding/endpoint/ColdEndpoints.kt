package org.bilberryhead.forwarding.endpoint

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.serving.ColdStart
import org.bilberryhead.core.serving.ColdStartLimit
import org.bilberryhead.core.serving.EndpointDirectory
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.core.serving.ServingPool
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import kotlin.time.Duration

/**
 * Follows which endpoints are cold, and limits what this entry sends to them.
 *
 * @param pools the configuration of a pool, or null for an unknown pool
 */
internal class ColdEndpoints(
    private val thread: EventThread,
    private val directory: EndpointDirectory,
    private val pools: (PoolName) -> ServingPool?,
    private val decisions: DecisionLog,
    private val limit: ColdStartLimit,
) {
    /** Number of cold endpoints. */
    val count: Int
        get() = limit.coldRuns(thread.now()).count { run ->
            directory.entry(run.id)?.let { it.run == run && coldStartOf(it) != null } ?: false
        }

    /** Notes whether the members are known, and forgets what is out of date. To be called regularly. */
    fun update() = limit.update(thread.now())

    /** Reads from [entry], a new row, how much longer its endpoint is cold. */
    fun rowRead(entry: EndpointEntry) {
        if (entry.coldTimeLeft == Duration.ZERO && limit.isEmpty) return
        recordIfCold(entry, entry.coldTimeLeft, "its row") {
            limit.recordRow(entry.run, entry.coldTimeLeft, thread.now())
        }
    }

    /** Treats endpoints as cold whose evacuation ends when [evacuated] are the evacuated data centres. */
    fun evacuationsChanged(evacuated: Set<DataCentre>) {
        for (entry in directory.entriesIn(directory.evacuated - evacuated)) {
            val period = coldStartOf(entry)?.period ?: continue
            recordIfCold(entry, period, "its evacuation was withdrawn") {
                limit.recordReturn(entry.run, period, thread.now())
            }
        }
    }

    /** Returns whether the endpoint of [entry] is cold. */
    fun isCold(entry: EndpointEntry): Boolean =
        !limit.isEmpty && coldStartOf(entry) != null && limit.isCold(entry.run, thread.now())

    /** Returns whether the endpoint of [entry] is warm, or this entry may send it another request now. */
    fun maySend(entry: EndpointEntry): Boolean {
        if (limit.isEmpty) return true
        val coldStart = coldStartOf(entry) ?: return true
        return limit.maySend(entry.run, coldStart.requestsPerSecond, thread.now())
    }

    /** Counts a request or call that is sent to the endpoint of [entry] now. */
    fun recordSent(entry: EndpointEntry) {
        if (coldStartOf(entry) != null) limit.recordSent(entry.run, thread.now())
    }

    private fun recordIfCold(entry: EndpointEntry, period: Duration, cause: String, record: () -> Unit) {
        val wasCold = isCold(entry)
        record()
        if (wasCold || !isCold(entry)) return
        decisions.write("endpoint is cold") {
            mapOf(
                "endpoint" to entry.id,
                "pool" to entry.pool,
                "cause" to cause,
                "left_ms" to period.inWholeMilliseconds,
            )
        }
    }

    private fun coldStartOf(entry: EndpointEntry): ColdStart? = pools(entry.pool)?.coldStart
}
