package org.bilberryhead.core.routing

import java.util.concurrent.atomic.AtomicLong

/** Thread-safe generator of seeded pseudo-random numbers (SplitMix64), without locks. */
internal class AtomicRandom(seed: Long) {
    private val state = AtomicLong(seed)

    /** Returns a number from 0 until [bound]. */
    fun nextInt(bound: Int): Int {
        val high = nextLong() ushr Int.SIZE_BITS
        return ((high * bound) ushr Int.SIZE_BITS).toInt()
    }

    private fun nextLong(): Long {
        var mixed = state.addAndGet(INCREMENT)
        mixed = (mixed xor (mixed ushr FIRST_SHIFT)) * FIRST_FACTOR
        mixed = (mixed xor (mixed ushr SECOND_SHIFT)) * SECOND_FACTOR
        return mixed xor (mixed ushr LAST_SHIFT)
    }

    private companion object {
        const val INCREMENT = -0x61c8864680b583ebL
        const val FIRST_SHIFT = 30
        const val SECOND_SHIFT = 27
        const val LAST_SHIFT = 31
        const val FIRST_FACTOR = -0x40a7b892e31b1a47L
        const val SECOND_FACTOR = -0x6b2fb644ecceee15L
    }
}
