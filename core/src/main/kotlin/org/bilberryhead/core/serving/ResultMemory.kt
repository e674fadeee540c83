package org.bilberryhead.core.serving

import org.bilberryhead.core.common.EndpointId
import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * How many bytes of results a coordinator may have made at each endpoint of a pool.
 *
 * Load that this answers: bursts that a pool could work off in time, if only its memory for results were not full.
 * Others may use that memory too, after a change of coordinator, so that the room is a window that grows while pieces
 * find room and shrinks when one does not.
 *
 * @param resultMemoryBytes memory for results at one endpoint
 * @param resultRetention how long an endpoint keeps a result that nobody gives up
 */
class ResultMemory(private val resultMemoryBytes: Double, private val resultRetention: Duration) {
    private class Held(val endpoint: EndpointId, val bytes: Long, val madeAt: Instant)

    private val windows = mutableMapOf<EndpointId, Double>()
    private val reserved = mutableMapOf<EndpointId, Long>()
    private val held = LinkedHashMap<ResultHandle, Held>()
    private var holdTime = FIRST_HOLD_TIME

    /** Bytes that may still be added at [endpoint]. */
    fun freeBytes(endpoint: EndpointId, now: Instant): Long {
        expire(now)
        return (window(endpoint) - used(endpoint)).toLong()
    }

    /** Whether this entry has no result at [endpoint] and asks for none. */
    fun isUnused(endpoint: EndpointId): Boolean = used(endpoint) == 0L

    /** Counts [bytes] of results that are asked for. */
    fun reserve(endpoint: EndpointId, bytes: Long) {
        reserved.merge(endpoint, bytes, Long::plus)
    }

    /**
     * Ends a reservation of [bytes], of which [madeBytes] were made. Where a piece found no room, what this coordinator
     * has there is all that fits beside the results of others.
     */
    fun endReservation(endpoint: EndpointId, bytes: Long, madeBytes: Long, isMemoryFull: Boolean) {
        reserved.merge(endpoint, -bytes, Long::plus)
        windows[endpoint] = if (isMemoryFull) {
            max(resultMemoryBytes * SMALLEST_PART, min(window(endpoint), (used(endpoint) + madeBytes).toDouble()))
        } else {
            min(resultMemoryBytes * LARGEST_PART, window(endpoint) + resultMemoryBytes * GROWTH)
        }
    }

    /** Counts a result that was made. */
    fun add(handle: ResultHandle, endpoint: EndpointId, bytes: Long, now: Instant) {
        held[handle] = Held(endpoint, bytes, now)
    }

    /** Takes out a result that was given up. */
    fun recordRelease(handle: ResultHandle, now: Instant) {
        val result = held.remove(handle) ?: return
        holdTime = holdTime * (1 - HOLD_WEIGHT) + (now - result.madeAt) * HOLD_WEIGHT
    }

    /**
     * Returns how many pieces a call should have at most. Larger calls are faster by piece, but their results take room
     * from the start of the call on; beyond this size there is no room left for the results of the calls before.
     */
    fun maximumBatchSize(shape: PieceProcessingProfile, bytesPerPiece: Long): Int {
        val places = resultMemoryBytes * LARGEST_PART / bytesPerPiece.coerceAtLeast(1)
        return (shape.batchSize downTo 1).firstOrNull { pieces ->
            val callOverhead = shape.callOverhead + shape.timePerPiece * pieces
            pieces * (1 + holdTime / callOverhead) <= places
        } ?: 1
    }

    private fun window(endpoint: EndpointId): Double = windows[endpoint] ?: (resultMemoryBytes * LARGEST_PART)

    private fun used(endpoint: EndpointId): Long =
        (reserved[endpoint] ?: 0) + held.values.sumOf { if (it.endpoint == endpoint) it.bytes else 0L }

    private fun expire(now: Instant) {
        while (held.isNotEmpty() && held.values.first().madeAt + resultRetention <= now) held.remove(held.keys.first())
    }

    private companion object {
        /** Sizes of results are approximate. */
        const val LARGEST_PART = 0.92
        const val SMALLEST_PART = 0.12
        val FIRST_HOLD_TIME = 500.milliseconds
        const val HOLD_WEIGHT = 0.02
        const val GROWTH = 0.08
    }
}
