package org.bilberryhead.core.membership

import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Pool

/**
 * Limits of an [EndpointSubset].
 *
 * @property entriesPerEndpoint minimum number of entries that connect to an endpoint, if there are that many entries
 * @property endpointsPerEntry minimum average number of endpoints of a pool per entry, if the pool has that many
 */
data class SubsetLimits(val entriesPerEndpoint: Int = 3, val endpointsPerEntry: Int = 20)

/**
 * Chooses the endpoints of each pool that one entry connects to, by rendezvous hashing: an endpoint is assigned to the
 * entries whose names give the highest hashes together with its id. Every endpoint of a pool is assigned to the same
 * number of entries, and adding or removing an entry or endpoint changes few other assignments.
 *
 * @param self the name of this entry, as in the settings of all entries
 * @param entries the names of all entries, including [self]
 */
class EndpointSubset(
    private val self: String,
    private val entries: Set<String>,
    private val limits: SubsetLimits = SubsetLimits(),
) {
    private val ownHash = hash(self)
    private val otherHashes = entries.filter { it != self }.map { hash(it) }.toLongArray()

    init {
        require(self in entries) { "entry $self is not in the list of all entries" }
    }

    /** Returns the endpoints of [pool] that this entry connects to. */
    fun choose(pool: Pool): List<Endpoint> {
        val assignedEntries = entriesPerEndpoint(pool.endpoints.size)
        if (assignedEntries >= entries.size) return pool.endpoints
        return pool.endpoints.filter { isAssigned(it, assignedEntries) }
    }

    /** Returns the number of entries that connect to each endpoint of a pool with [poolSize] endpoints. */
    fun entriesPerEndpoint(poolSize: Int): Int {
        if (poolSize == 0) return 0
        val entriesForPoolSize = (limits.endpointsPerEntry * entries.size + poolSize - 1) / poolSize
        return maxOf(limits.entriesPerEndpoint, entriesForPoolSize).coerceAtMost(entries.size)
    }

    private fun isAssigned(endpoint: Endpoint, assignedEntries: Int): Boolean {
        val endpointHash = mix(hash(endpoint.id.value))
        val ownScore = mix(ownHash xor endpointHash)
        return otherHashes.count { mix(it xor endpointHash) > ownScore } < assignedEntries
    }

    private fun hash(name: String): Long =
        name.fold(FNV_OFFSET) { hash, character -> (hash xor character.code.toLong()) * FNV_PRIME }

    /** Finalizer of SplitMix64; separates the hashes of names that differ in a single character. */
    private fun mix(value: Long): Long {
        val first = (value xor (value ushr FIRST_SHIFT)) * FIRST_FACTOR
        val second = (first xor (first ushr SECOND_SHIFT)) * SECOND_FACTOR
        return second xor (second ushr THIRD_SHIFT)
    }

    private companion object {
        /** Constants of the 64-bit FNV-1a hash. */
        const val FNV_OFFSET = -0x340d631b7bdddcdbL
        const val FNV_PRIME = 0x100000001b3L

        /** Constants of the SplitMix64 finalizer. */
        const val FIRST_FACTOR = -0x40a7b892e31b1a47L
        const val SECOND_FACTOR = -0x6b2fb644ecceee15L
        const val FIRST_SHIFT = 30
        const val SECOND_SHIFT = 27
        const val THIRD_SHIFT = 31
    }
}
