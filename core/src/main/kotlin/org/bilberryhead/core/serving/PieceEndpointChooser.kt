package org.bilberryhead.core.serving

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Chooses the endpoint for the next batch of pieces, if one is free.
 *
 * Designed for bursts on a pool whose endpoints run few calls concurrently. An endpoint never gets more calls than it
 * runs concurrently, so that pieces wait in the queue of the coordinator, where they can still join a larger batch.
 */
class PieceEndpointChooser(private val profile: PieceProcessingProfile) {
    private val openCalls = mutableMapOf<EndpointId, Int>()
    private val slowdowns = mutableMapOf<EndpointId, Double>()
    private val backoffUntil = mutableMapOf<EndpointId, Instant>()

    /**
     * Returns the endpoint for a call that is sent now, or null when all are busy.
     *
     * @param preferredDataCentre data centre that the endpoint should be in, or null without a preference
     * @param hasMemory returns whether an endpoint has enough memory for the results of the next call
     */
    fun choose(
        candidates: List<EndpointEntry>,
        preferredDataCentre: DataCentre?,
        now: Instant,
        hasMemory: (EndpointId) -> Boolean,
    ): EndpointEntry? = candidates
        .filter { (openCalls[it.id] ?: 0) < profile.concurrentCalls && hasMemory(it.id) }
        .filter { isUsable(it.id, now) }
        .minByOrNull {
            (slowdowns[it.id] ?: 1.0) +
                if (preferredDataCentre == null || it.dataCentre == preferredDataCentre) 0.0 else REMOTE_PENALTY
        }

    /** Calls to [endpoint] that have not ended. */
    fun openCalls(endpoint: EndpointId): Int = openCalls[endpoint] ?: 0

    /** Counts a call that is sent to [endpoint] now. */
    fun recordCallStart(endpoint: EndpointId) {
        openCalls.merge(endpoint, 1, Int::plus)
    }

    /**
     * Records the end of a call. After a failure the endpoint gets no calls for [BACKOFF].
     *
     * @param slowdown ratio of the time that the call took to its [nominalCallTime]
     */
    fun recordCallEnd(endpoint: EndpointId, failed: Boolean, slowdown: Double, now: Instant) {
        val remainingCalls = (openCalls[endpoint] ?: 0) - 1
        if (remainingCalls > 0) openCalls[endpoint] = remainingCalls else openCalls.remove(endpoint)
        if (failed) {
            backoffUntil[endpoint] = now + BACKOFF
        } else {
            slowdowns[endpoint] = (slowdowns[endpoint] ?: 1.0) * (1 - SLOWDOWN_WEIGHT) + slowdown * SLOWDOWN_WEIGHT
        }
    }

    /** Time that a call with [pieces] pieces takes according to the configuration of the pool. */
    fun nominalCallTime(pieces: Int): Duration = profile.callOverhead + profile.timePerPiece * pieces

    /** Expected time of a call with [pieces] pieces to [endpoint], from the slowdown of its recent calls. */
    fun expectedCallTime(endpoint: EndpointId, pieces: Int): Duration =
        nominalCallTime(pieces) * (slowdowns[endpoint] ?: 1.0).coerceAtLeast(1.0)

    private fun isUsable(endpoint: EndpointId, now: Instant): Boolean =
        backoffUntil[endpoint]?.let { it <= now } ?: true

    private companion object {
        const val SLOWDOWN_WEIGHT = 0.3

        /** Added to the slowdown of an endpoint outside the preferred data centre when endpoints are compared. */
        const val REMOTE_PENALTY = 0.5

        /** How long an endpoint gets no calls after a failure. */
        val BACKOFF: Duration = 1.seconds - 200.milliseconds
    }
}
