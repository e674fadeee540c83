package org.bilberryhead.core.memory

/**
 * What memory is held for. A kind may hold at most [share] of the whole budget, so that none displaces the others.
 *
 * @property isReserved whether the other kinds leave the whole share free
 * @property alwaysGrantedBytes size up to which a reservation is never refused
 */
enum class MemoryKind(
    internal val share: Double,
    internal val isReserved: Boolean = false,
    internal val alwaysGrantedBytes: Long = MemoryReservation.SMALL_BYTES,
) {
    /** Bodies of requests of callers that are being read, wait, or are being served. */
    REQUEST_BODY(share = 0.75),

    /** Bodies of requests of other entries. */
    PEER_REQUEST_BODY(share = 0.25),

    /** Responses of endpoints that are not complete yet. */
    ENDPOINT_RESPONSE(share = 0.5),

    /** Responses of other entries, of stage endpoints and of the store that are not complete yet. */
    OTHER_RESPONSE(share = 0.5),

    /**
     * Parts of streams that their callers have not taken yet. Reading can pause instead, so that nothing has to be
     * granted beyond the share.
     */
    STREAM_BACKLOG(share = 0.08, isReserved = true, alwaysGrantedBytes = 0),
}

/**
 * The memory that other processes can make this one hold, in bytes. Not thread-safe.
 *
 * @property capacity the most that all kinds may hold together, except for small amounts, which are never refused
 */
class MemoryBudget(val capacity: Long) {
    private val heldByKind = LongArray(MemoryKind.entries.size)
    private val unreservedCapacity = capacity - MemoryKind.entries.sumOf { if (it.isReserved) limit(it) else 0L }

    /** Bytes that all kinds hold together. */
    val held: Long get() = heldByKind.sum()

    /** Bytes that [kind] holds. */
    fun held(kind: MemoryKind): Long = heldByKind[kind.ordinal]

    /** The most that [kind] may hold, in bytes. */
    fun limit(kind: MemoryKind): Long = (capacity * kind.share).toLong()

    /** Returns a new reservation of [kind] that holds nothing. */
    fun newReservation(kind: MemoryKind) = MemoryReservation(this, kind)

    internal fun hasRoom(kind: MemoryKind, bytes: Long): Boolean =
        held(kind) + bytes <= limit(kind) && (kind.isReserved || heldUnreserved + bytes <= unreservedCapacity)

    private val heldUnreserved: Long get() = MemoryKind.entries.sumOf { if (it.isReserved) 0L else held(it) }

    internal fun add(kind: MemoryKind, bytes: Long) {
        heldByKind[kind.ordinal] += bytes
    }

    companion object {
        /** Part of the heap for the program itself, for what it keeps for long, and for garbage, in bytes. */
        private const val RESERVED_BYTES = 48L * 1024 * 1024

        /** Share of a heap that is hardly larger than the reserve. */
        private const val MINIMUM_SHARE = 0.25

        /** Returns the budget of a process with a heap of at most [heapBytes]. */
        fun ofHeap(heapBytes: Long) =
            MemoryBudget(maxOf(heapBytes - RESERVED_BYTES, (heapBytes * MINIMUM_SHARE).toLong()))
    }
}

/** The part of [budget] that one request or response holds. */
class MemoryReservation internal constructor(private val budget: MemoryBudget, private val kind: MemoryKind) {
    /** Reserved bytes. */
    var bytes = 0L
        private set

    /**
     * Changes the reservation to [newBytes]. Returns false, and changes nothing, when there is no room for more; up to
     * [MemoryKind.alwaysGrantedBytes] there always is.
     */
    fun tryResize(newBytes: Long): Boolean {
        val added = newBytes - bytes
        if (added > 0 && newBytes > kind.alwaysGrantedBytes && !budget.hasRoom(kind, added)) return false
        resize(newBytes)
        return true
    }

    /** Changes the reservation to [newBytes] even without room, for what has been received and can't be refused. */
    internal fun resize(newBytes: Long) {
        budget.add(kind, newBytes - bytes)
        bytes = newBytes
    }

    /** Returns what is reserved; has no effect when nothing is. */
    fun release() {
        budget.add(kind, -bytes)
        bytes = 0
    }

    companion object {
        /** Size up to which a request or a response is never refused, in bytes. */
        const val SMALL_BYTES = 64L * 1024
    }
}
