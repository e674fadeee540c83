package org.bilberryhead.core.serving

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * The record by which an entry registers itself in the platform's store.
 *
 * @property peerAddress address at which other entries reach it
 * @property processorCores processor cores that the entry may use
 * @property incarnation random number that distinguishes restarts of the process
 * @property isLeaving whether the process is shutting down
 */
data class EntryRecord(
    val id: DaemonId,
    val dataCentre: DataCentre,
    val peerAddress: SocketAddress,
    val processorCores: Double,
    val incarnation: Long = 0,
    val isLeaving: Boolean = false,
)

/**
 * Ranks the entries that may coordinate the calls to a pool of stage endpoints.
 *
 * Designed for many entries that each have a few pieces for a pool with few endpoints. One entry collects the pieces
 * of all, so that the batches are full and the memory in use at the endpoints is known. Every entry computes the same
 * ranking without communication. Each entry skips the entries that it could not reach itself.
 */
object CoordinatorRanking {
    /**
     * Returns [entries] in the order in which they should coordinate [pool]. Entries with far fewer processor cores
     * than the largest come after the others, and entries that are shutting down come last.
     */
    fun order(pool: PoolName, entries: Collection<EntryRecord>): List<EntryRecord> {
        val mostCores = entries.maxOfOrNull { it.processorCores } ?: return emptyList()
        return entries.sortedWith(
            compareBy<EntryRecord> { it.isLeaving }
                .thenByDescending { it.processorCores >= mostCores * FULL_RANK_CORE_RATIO }
                .thenByDescending { rendezvousWeight(pool.value, it.id.value) },
        )
    }

    private const val FULL_RANK_CORE_RATIO = 0.6
}

/** Tracks whether this entry can reach one peer. After each failure the peer gets no requests for a longer time. */
class PeerReachability {
    private var failures = 0
    private var backoffUntil: Instant? = null

    /** Whether requests may be sent to the peer. */
    fun isUsable(now: Instant): Boolean = backoffUntil?.let { it <= now } ?: true

    /** Records that the peer responded. */
    fun recordSuccess() {
        failures = 0
        backoffUntil = null
    }

    /** Records that the peer could not be reached, or sent nothing within the timeout. */
    fun recordFailure(now: Instant) {
        failures++
        backoffUntil = now +
            (BASE_BACKOFF * (1 shl failures.coerceAtMost(MAXIMUM_DOUBLINGS))).coerceAtMost(MAXIMUM_BACKOFF)
    }

    private companion object {
        val BASE_BACKOFF: Duration = 500.milliseconds
        val MAXIMUM_BACKOFF: Duration = 8.seconds
        const val MAXIMUM_DOUBLINGS = 4
    }
}
