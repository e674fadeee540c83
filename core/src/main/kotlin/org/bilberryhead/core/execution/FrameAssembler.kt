package org.bilberryhead.core.execution

import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.message.Frame

/**
 * Puts the frames of one attempt in order. Frames may arrive late, more than once, or out of order; each payload is
 * returned once, in order.
 */
class FrameAssembler {
    private val returned = mutableListOf<Payload>()
    private val buffered = sortedMapOf<Int, Frame>()

    /** Number of the first frame that has not been returned. */
    val nextFrameNumber: Int get() = returned.size

    /** Whether the last frame and all before it have been returned. */
    var isComplete: Boolean = false
        private set

    /** Adds [frame] and returns the payloads that are now in order, oldest first. */
    fun add(frame: Frame): List<Payload> {
        if (isComplete || frame.number < nextFrameNumber) return emptyList()
        buffered.putIfAbsent(frame.number, frame)
        val ready = mutableListOf<Payload>()
        while (!isComplete) {
            val next = buffered.remove(nextFrameNumber) ?: break
            returned += next.payload
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
    fun completeResponse(): Payload {
        check(isComplete) { "not all frames of the response have arrived" }
        return Payload.join(returned)
    }
}
