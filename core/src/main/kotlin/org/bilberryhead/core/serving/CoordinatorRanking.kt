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
 * An entry as it wrote itself into the platform's store.
 *
 * @property peerAddress where other entries reach it
 * @property processorCores cores that it has
 * @property runId number of the run of its process, drawn at random
 * @property isLeaving whether the process is about to end
 */
data class EntryRecord(
    val id: DaemonId,
    val dataCentre: DataCentre,
    val peerAddress: SocketAddress,
    val processorCores: Double,
    val runId: Long = 0,
    val isLeaving: Boolean = false,
)

/**
 * Ranks the entries that may coordinate the calls of a pool of stage endpoints.
 *
 * Load that this answers: many entries that each hold a few pieces of a pool with few endpoints. One of them gathers
 * the pieces of all, so that calls are full and the endpoints' memory is known. All entries rank alike, without
 * telling each other; an entry that can not be reached is passed over, each entry by its own observation.
 */
object CoordinatorRanking {
    /**
     * Returns [entries] in the order in which they should coordinate [pool]. Much weaker ones come last, and after them
     * those that leave.
     */
    fun order(pool: PoolName, entries: Collection<EntryRecord>): List<EntryRecord> {
        val strongest = entries.maxOfOrNull { it.processorCores } ?: return emptyList()
        return entries.sortedWith(
            compareBy<EntryRecord> { it.isLeaving }
                .thenByDescending { it.processorCores >= strongest * STRONG_PART }
                .thenByDescending { rendezvousWeight(pool.value, it.id.value) },
        )
    }

    private const val STRONG_PART = 0.6
}

/** What this entry saw of one peer: when it may be used again after it could not be reached. */
class PeerReachability {
    private var failures = 0
    private var avoidUntil: Instant? = null

    /** Whether the peer may be asked. */
    fun isUsable(now: Instant): Boolean = avoidUntil?.let { it <= now } ?: true

    /** The peer answered. */
    fun recordSuccess() {
        failures = 0
        avoidUntil = null
    }

    /** The peer could not be reached, or gave no sign of life in time. */
    fun recordFailure(now: Instant) {
        failures++
        avoidUntil = now + (FIRST_AVOID * (1 shl failures.coerceAtMost(MOST_DOUBLINGS))).coerceAtMost(LONGEST_AVOID)
    }

    private companion object {
        val FIRST_AVOID: Duration = 500.milliseconds
        val LONGEST_AVOID: Duration = 8.seconds
        const val MOST_DOUBLINGS = 4
    }
}
