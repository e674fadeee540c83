package org.bilberryhead.core.serving

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Chooses the endpoint of the next call with pieces, and whether there may be one.
 *
 * Load that this answers: bursts on a pool whose endpoints work on few calls at a time. No more calls are open at an
 * endpoint than it works on, so that pieces wait where they can still be put into a fuller call.
 */
class PieceEndpointChooser(private val shape: PieceProcessingProfile) {
    private val openCalls = mutableMapOf<EndpointId, Int>()
    private val callTimes = mutableMapOf<EndpointId, Double>()
    private val avoidUntil = mutableMapOf<EndpointId, Instant>()

    /**
     * Returns the endpoint for a call that begins now, or null when all are busy.
     *
     * @param preferred where the endpoint should be
     * @param hasRoom whether an endpoint has room for results of the next call
     */
    fun choose(
        candidates: List<EndpointEntry>,
        preferred: DataCentre?,
        now: Instant,
        hasRoom: (EndpointId) -> Boolean,
    ): EndpointEntry? = candidates
        .filter { (openCalls[it.id] ?: 0) < shape.concurrentCalls && hasRoom(it.id) }
        .filter { isUsable(it.id, now) }
        .minByOrNull { (callTimes[it.id] ?: 1.0) + if (preferred == null || it.dataCentre == preferred) 0.0 else FAR }

    /** Counts a call that begins. */
    fun begin(endpoint: EndpointId) {
        openCalls.merge(endpoint, 1, Int::plus)
    }

    /**
     * Counts the end of a call; after a failure the endpoint is avoided for a while.
     *
     * @param slowdown time that the call took over its [nominalCallTime]
     */
    fun end(endpoint: EndpointId, failed: Boolean, slowdown: Double, now: Instant) {
        val left = (openCalls[endpoint] ?: 0) - 1
        if (left > 0) openCalls[endpoint] = left else openCalls.remove(endpoint)
        if (failed) {
            avoidUntil[endpoint] = now + AVOID_TIME
        } else {
            callTimes[endpoint] = (callTimes[endpoint] ?: 1.0) * (1 - WEIGHT) + slowdown * WEIGHT
        }
    }

    /** Time that a call with [pieces] pieces takes at an endpoint that is as fast as it should be. */
    fun nominalCallTime(pieces: Int): Duration = shape.callOverhead + shape.timePerPiece * pieces

    /** Time after which a call to [endpoint] with [pieces] pieces should have been answered. */
    fun expectedCallTime(endpoint: EndpointId, pieces: Int): Duration =
        nominalCallTime(pieces) * (callTimes[endpoint] ?: 1.0).coerceAtLeast(1.0)

    private fun isUsable(endpoint: EndpointId, now: Instant): Boolean = avoidUntil[endpoint]?.let { it <= now } ?: true

    private companion object {
        const val WEIGHT = 0.3

        /** What another data centre weighs against slowdown. */
        const val FAR = 0.5
        val AVOID_TIME: Duration = 1.seconds - 200.milliseconds
    }
}
