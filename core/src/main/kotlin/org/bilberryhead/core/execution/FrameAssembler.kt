package org.bilberryhead.core.execution

import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.message.Frame

/**
 * Puts the frames of one attempt in order. Frames may arrive late, more than once, or out of order; each payload is
 * released once, in order.
 */
class FrameAssembler {
    private val released = mutableListOf<Payload>()
    private val buffered = sortedMapOf<Int, Frame>()

    /** Number of the first frame that has not been released. */
    val nextNumber: Int get() = released.size

    /** Whether the last frame and all before it have been released. */
    var isComplete: Boolean = false
        private set

    /** Adds [frame] and returns the payloads that are now in order, oldest first. */
    fun add(frame: Frame): List<Payload> {
        if (isComplete || frame.number < nextNumber) return emptyList()
        buffered.putIfAbsent(frame.number, frame)
        val ready = mutableListOf<Payload>()
        while (!isComplete) {
            val next = buffered.remove(nextNumber) ?: break
            released += next.payload
            ready += next.payload
            isComplete = next.last
        }
        if (isComplete) buffered.clear()
        return ready
    }

    /**
     * Returns the payloads of all frames, joined.
     *
     * @throws IllegalStateException unless [isComplete]
     */
    fun completeAnswer(): Payload {
        check(isComplete) { "not all frames of the answer have arrived" }
        return Payload.join(released)
    }
}
