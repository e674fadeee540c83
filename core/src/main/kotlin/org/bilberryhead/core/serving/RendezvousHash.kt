package org.bilberryhead.core.serving

/** Returns the rendezvous hashing weight of [candidate] for [key]. It is the same in all processes. */
internal fun rendezvousWeight(key: String, candidate: String): Int {
    val combined = key.hashCode() * HASH_MULTIPLIER xor candidate.hashCode()
    return mixBits(mixBits(combined))
}

private fun mixBits(hash: Int): Int = (hash xor (hash ushr HASH_SHIFT)) * HASH_MULTIPLIER

private const val HASH_MULTIPLIER = -1640531535
private const val HASH_SHIFT = 15
