package org.bilberryhead.core.serving

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import kotlin.math.ceil
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** This entry among all entries: how many there are, and its place among those of its data centre. */
data class EntryPlace(val entries: Int, val rankInDataCentre: Int)

/**
 * Chooses the endpoint of the next call with pieces, and whether there may be one.
 *
 * Load that this answers: several entries that each hold a part of the pieces of a pool whose endpoints work on one call
 * at a time. All entries together keep about as many calls open as the endpoints can work on, so that the pieces wait
 * where they still can be put into a fuller call. Entries start from different endpoints of their data centre.
 */
class PieceEndpointChooser(private val own: DataCentre, private val shape: PieceShape) {
    private val openCalls = mutableMapOf<EndpointId, Int>()
    private val waitingThere = mutableMapOf<EndpointId, ReportedQueue>()
    private val avoidUntil = mutableMapOf<EndpointId, Instant>()

    /** Calls of this entry that are not answered. */
    val open: Int get() = openCalls.values.sum()

    /**
     * Returns the endpoint for a call that begins now, or null when this entry has enough calls open.
     *
     * @param waiting pieces that wait; each full batch of them may have a call beyond this entry's share
     * @param hasRoom whether an endpoint has room for results of the next call
     */
    fun choose(
        candidates: List<EndpointEntry>,
        place: EntryPlace,
        waiting: Int,
        now: Instant,
        hasRoom: (EndpointId) -> Boolean,
    ): EndpointEntry? {
        if (open >= callLimit(candidates.size, place) + waiting / shape.batchSize) return null
        val local = candidates.filter { it.dataCentre == own }
        val home = local.getOrNull(if (local.isEmpty()) 0 else place.rankInDataCentre % local.size)
        return candidates
            .filter { (openCalls[it.id] ?: 0) <= shape.queueLength && hasRoom(it.id) }
            .minByOrNull { cost(it, it.id == home?.id, now) }
    }

    /** Counts a call that begins. */
    fun begin(endpoint: EndpointId) {
        openCalls.merge(endpoint, 1, Int::plus)
    }

    /** Counts the end of a call; after a failure the endpoint is avoided for a while. */
    fun end(endpoint: EndpointId, failed: Boolean, now: Instant) {
        val left = (openCalls[endpoint] ?: 0) - 1
        if (left > 0) openCalls[endpoint] = left else openCalls.remove(endpoint)
        if (failed) avoidUntil[endpoint] = now + AVOID_TIME else avoidUntil.remove(endpoint)
    }

    /** Takes the load that an answer told. */
    fun reported(endpoint: EndpointId, report: LoadReport, now: Instant) {
        waitingThere[endpoint] = ReportedQueue(report.running + report.waiting, now)
    }

    private fun callLimit(endpoints: Int, place: EntryPlace): Int =
        max(1, ceil(endpoints * shape.concurrentCalls * OPEN_CALLS_PER_SLOT / place.entries - ROUNDING).toInt())

    private fun cost(endpoint: EndpointEntry, isHome: Boolean, now: Instant): Duration {
        val calls = (openCalls[endpoint.id] ?: 0) + reportedCalls(endpoint.id, now)
        val distance = if (endpoint.dataCentre == own) Duration.ZERO else DISTANCE
        val avoided = avoidUntil[endpoint.id]?.let { if (it > now) AVOID_COST else null } ?: Duration.ZERO
        return shape.callTime * calls + distance + avoided + if (isHome) Duration.ZERO else NOT_HOME
    }

    private fun reportedCalls(endpoint: EndpointId, now: Instant): Int =
        waitingThere[endpoint]?.let { if (now - it.at < REPORT_LIFE) it.calls else 0 } ?: 0

    private data class ReportedQueue(val calls: Int, val at: Instant)

    private companion object {
        const val OPEN_CALLS_PER_SLOT = 1.25

        /** Keeps a limit that is just above a whole number from counting as the next one. */
        const val ROUNDING = 0.3
        val DISTANCE = 60.milliseconds
        val NOT_HOME = 120.milliseconds
        val REPORT_LIFE = 400.milliseconds
        val AVOID_TIME = 1500.milliseconds
        val AVOID_COST = 5.seconds
    }
}
