package org.bilberryhead.core.membership

import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Pool

/**
 * Limits of an [EndpointSubset].
 *
 * @property entriesPerEndpoint least number of entries that keep a connection to an endpoint
 * @property endpointsPerEntry least number of endpoints of a pool that an entry has on average, if there are so many
 */
data class SubsetLimits(val entriesPerEndpoint: Int = 3, val endpointsPerEntry: Int = 20)

/**
 * Chooses the endpoints of each pool that one entry keeps connections to. Each endpoint goes to the entries with the
 * highest hash of both names (rendezvous hashing), so that every endpoint has the same number of entries, and an entry
 * or endpoint that comes or goes changes few other connections.
 *
 * @param self the name of this entry, the same in the settings of all
 * @param entries the names of all entries, with [self]
 */
class EndpointSubset(
    private val self: String,
    private val entries: Set<String>,
    private val limits: SubsetLimits = SubsetLimits(),
) {
    private val ownHash = hash(self)
    private val otherHashes = entries.filter { it != self }.map { hash(it) }.toLongArray()

    init {
        require(self in entries) { "entry $self is not among the entries" }
    }

    /** Returns the endpoints of [pool] that this entry connects to. */
    fun choose(pool: Pool): List<Endpoint> {
        val copies = copies(pool.endpoints.size)
        if (copies >= entries.size) return pool.endpoints
        return pool.endpoints.filter { isMine(it, copies) }
    }

    /** Returns the number of entries that connect to each endpoint of a pool with [poolSize] endpoints. */
    fun copies(poolSize: Int): Int {
        if (poolSize == 0) return 0
        val forSize = (limits.endpointsPerEntry * entries.size + poolSize - 1) / poolSize
        return maxOf(limits.entriesPerEndpoint, forSize).coerceAtMost(entries.size)
    }

    private fun isMine(endpoint: Endpoint, copies: Int): Boolean {
        val endpointHash = mix(hash(endpoint.id.value))
        val own = mix(ownHash xor endpointHash)
        return otherHashes.count { mix(it xor endpointHash) > own } < copies
    }

    private fun hash(name: String): Long =
        name.fold(FNV_OFFSET) { hash, character -> (hash xor character.code.toLong()) * FNV_PRIME }

    /** The finalizer of SplitMix64, which spreads names that differ in one character only. */
    private fun mix(value: Long): Long {
        val first = (value xor (value ushr FIRST_SHIFT)) * FIRST_FACTOR
        val second = (first xor (first ushr SECOND_SHIFT)) * SECOND_FACTOR
        return second xor (second ushr THIRD_SHIFT)
    }

    private companion object {
        /** Constants of the FNV-1a hash with 64 bits. */
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
