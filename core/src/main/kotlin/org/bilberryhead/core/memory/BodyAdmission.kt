package org.bilberryhead.core.memory

/** What happens to the body of a request whose head has been read. */
enum class BodyDecision {
    /** The body is read; it has room as a whole if its length is known. */
    READ,

    /** The body is not read until there is room for it. */
    WAIT,

    /** There is no room, and enough bodies wait already. */
    REFUSE,
}

/**
 * Decides which bodies of requests are read, within [memory]. Not thread-safe.
 *
 * A body of known length gets its memory as a whole before it is read, so that bodies that are read in part can't wait
 * for each other. Bodies that wait get memory in their order.
 *
 * @property kind the kind of memory that the bodies hold
 */
class BodyAdmission(private val memory: MemoryBudget, private val kind: MemoryKind = MemoryKind.REQUEST_BODY) {
    private val waiting = ArrayDeque<BodyClaim>()

    /** Returns a claim that holds nothing. Calls [onRoom] when a body that has waited may be read. */
    fun newClaim(onRoom: () -> Unit) = BodyClaim(this, memory.newReservation(kind), onRoom)

    /** Lets bodies that wait be read as far as there is room, for other kinds of memory may have been returned. */
    fun admitWaiting() {
        while (true) {
            val first = waiting.firstOrNull() ?: return
            if (!first.tryReserve()) return
            waiting.removeFirst()
            first.onRoom()
        }
    }

    internal fun decide(claim: BodyClaim): BodyDecision {
        val isSmall = claim.announcedBytes <= MemoryReservation.SMALL_BYTES
        // Those that wait longer go first.
        if ((isSmall || waiting.isEmpty()) && claim.tryReserve()) return BodyDecision.READ
        val waitingBytes = waiting.sumOf { it.announcedBytes } + claim.announcedBytes
        // Others would wait longer than it takes to serve all that is held now.
        if (waitingBytes > memory.limit(kind)) return BodyDecision.REFUSE
        waiting += claim
        return BodyDecision.WAIT
    }

    internal fun isWaiting(claim: BodyClaim): Boolean = claim in waiting

    internal fun remove(claim: BodyClaim) {
        waiting -= claim
        admitWaiting()
    }
}

/** The memory that the body of one request holds or waits for. */
class BodyClaim internal constructor(
    private val admission: BodyAdmission,
    private val reservation: MemoryReservation,
    internal val onRoom: () -> Unit,
) {
    internal var announcedBytes = 0L
        private set

    /** Whether the body waits for room. */
    val isWaiting: Boolean get() = admission.isWaiting(this)

    /** Decides on a body of [length] bytes; 0 if its length is not known. To be called once, before it is read. */
    fun announce(length: Long): BodyDecision {
        announcedBytes = length
        return admission.decide(this)
    }

    /** Reserves memory for the [bytes] that are held now; returns false when there is no room for them. */
    fun tryHold(bytes: Long): Boolean = bytes <= reservation.bytes || isWaiting || reservation.tryResize(bytes)

    /** Returns the memory, and no longer waits. Has no effect when nothing is held. */
    fun release() {
        reservation.release()
        admission.remove(this)
    }

    internal fun tryReserve(): Boolean = reservation.tryResize(announcedBytes)
}
