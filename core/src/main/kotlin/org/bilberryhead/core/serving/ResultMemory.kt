package org.bilberryhead.core.serving

import org.bilberryhead.core.common.EndpointId
import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Limits the bytes of results that a coordinator may keep at each endpoint of a pool.
 *
 * Designed for bursts that a pool can process in time only if its memory for results is not full. After a change of
 * coordinator another one may use that memory as well. The limit is therefore a window that grows while the results of
 * calls fit into memory and shrinks when a result does not.
 *
 * @param capacityBytes memory for results of one endpoint
 * @param lifetime how long an endpoint keeps a result that is not released
 */
class ResultMemory(private val capacityBytes: Double, private val lifetime: Duration) {
    private class StoredResult(val endpoint: EndpointId, val bytes: Long, val addedAt: Instant)

    private val windows = mutableMapOf<EndpointId, Double>()
    private val reserved = mutableMapOf<EndpointId, Long>()
    private val kept = LinkedHashMap<ResultHandle, StoredResult>()
    private var holdTime = INITIAL_HOLD_TIME

    /** Bytes of results that may still be added at [endpoint]. */
    fun freeBytes(endpoint: EndpointId, now: Instant): Long {
        expire(now)
        return (window(endpoint) - used(endpoint)).toLong()
    }

    /** Whether this entry has neither results nor reservations at [endpoint]. */
    fun isUnused(endpoint: EndpointId): Boolean = used(endpoint) == 0L

    /** Reserves [bytes] for the results of a call that is sent now. */
    fun reserve(endpoint: EndpointId, bytes: Long) {
        reserved.merge(endpoint, bytes, Long::plus)
    }

    /**
     * Ends a reservation of [bytes], of which results with [storedBytes] were stored. When a piece found the
     * memory full ([isMemoryFull]), the window shrinks to what this coordinator has stored at the endpoint.
     */
    fun endReservation(endpoint: EndpointId, bytes: Long, storedBytes: Long, isMemoryFull: Boolean) {
        reserved.merge(endpoint, -bytes, Long::plus)
        windows[endpoint] = if (isMemoryFull) {
            max(capacityBytes * MINIMUM_WINDOW_RATIO, min(window(endpoint), (used(endpoint) + storedBytes).toDouble()))
        } else {
            min(capacityBytes * MAXIMUM_WINDOW_RATIO, window(endpoint) + capacityBytes * WINDOW_GROWTH_RATIO)
        }
    }

    /** Adds a result that [endpoint] has stored. */
    fun add(handle: ResultHandle, endpoint: EndpointId, bytes: Long, now: Instant) {
        kept[handle] = StoredResult(endpoint, bytes, now)
    }

    /** Removes a result that was released. */
    fun recordRelease(handle: ResultHandle, now: Instant) {
        val result = kept.remove(handle) ?: return
        holdTime = holdTime * (1 - HOLD_TIME_WEIGHT) + (now - result.addedAt) * HOLD_TIME_WEIGHT
    }

    /**
     * Returns the maximum number of pieces in a call. Larger calls take less time per piece, but memory for their
     * results is reserved from the start of the call. With more pieces, no memory would be left for the results of
     * earlier calls.
     */
    fun maximumBatchSize(profile: PieceProcessingProfile, bytesPerPiece: Long): Int {
        val maximumResults = capacityBytes * MAXIMUM_WINDOW_RATIO / bytesPerPiece.coerceAtLeast(1)
        return (profile.batchSize downTo 1).firstOrNull { pieces ->
            val callTime = profile.callOverhead + profile.timePerPiece * pieces
            pieces * (1 + holdTime / callTime) <= maximumResults
        } ?: 1
    }

    private fun window(endpoint: EndpointId): Double = windows[endpoint] ?: (capacityBytes * MAXIMUM_WINDOW_RATIO)

    private fun used(endpoint: EndpointId): Long =
        (reserved[endpoint] ?: 0) + kept.values.sumOf { if (it.endpoint == endpoint) it.bytes else 0L }

    private fun expire(now: Instant) {
        while (kept.isNotEmpty() && kept.values.first().addedAt + lifetime <= now) kept.remove(kept.keys.first())
    }

    private companion object {
        /** Below 1, because the sizes of results are approximate. */
        const val MAXIMUM_WINDOW_RATIO = 0.92
        const val MINIMUM_WINDOW_RATIO = 0.12
        val INITIAL_HOLD_TIME = 500.milliseconds
        const val HOLD_TIME_WEIGHT = 0.02
        const val WINDOW_GROWTH_RATIO = 0.08
    }
}
