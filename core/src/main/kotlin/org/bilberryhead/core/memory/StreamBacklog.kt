package org.bilberryhead.core.memory

/**
 * The parts of one stream that its caller has not taken yet, in order, within the share of [memory] for them. Not
 * thread-safe.
 */
class StreamBacklog(memory: MemoryBudget) {
    private val reservation = memory.newReservation(MemoryKind.STREAM_BACKLOG)
    private val parts = ArrayDeque<ByteArray>()
    private val maximumBytes = memory.limit(MemoryKind.STREAM_BACKLOG) / MINIMUM_STREAMS

    /** Memory of [parts], in bytes. */
    private var heldBytes = 0L

    /** Whether the caller has taken everything. */
    val isEmpty: Boolean get() = parts.isEmpty()

    /** Appends [part], which has been received and can't be refused; [tryReserveRead] says whether to read on. */
    fun add(part: ByteArray) {
        parts += part
        heldBytes += sizeOf(part)
        if (heldBytes > reservation.bytes) reservation.resize(heldBytes)
    }

    /** Reserves memory for the next read of the stream; returns false when reading has to pause for lack of it. */
    fun tryReserveRead(): Boolean {
        val wanted = heldBytes + READ_BYTES
        val isReserved = wanted <= maximumBytes && reservation.tryResize(wanted)
        if (!isReserved) releaseRead()
        return isReserved
    }

    /** Releases the memory for the next read, because nothing is read now. */
    fun releaseRead() = reservation.resize(heldBytes)

    /** Removes and returns the oldest part, or returns null when there is none. */
    fun removeFirst(): ByteArray? {
        val part = parts.removeFirstOrNull() ?: return null
        heldBytes -= sizeOf(part)
        reservation.resize(heldBytes)
        return part
    }

    /** Drops all parts and releases the memory, including that for the next read. */
    fun clear() {
        parts.clear()
        heldBytes = 0
        reservation.release()
    }

    private fun sizeOf(part: ByteArray): Long = part.size + PART_OVERHEAD_BYTES

    private companion object {
        /** Number of streams that it takes to use up the share, so that no single caller can. */
        const val MINIMUM_STREAMS = 8

        /** More than a usual read of a stream; a larger one is held beyond the limit until the caller takes it. */
        const val READ_BYTES = 16L * 1024

        /** Header of an array and the reference to it. */
        const val PART_OVERHEAD_BYTES = 24L
    }
}
