package org.bilberryhead.forwarding.request

import org.bilberryhead.core.memory.BlockBuffer
import org.bilberryhead.core.memory.MemoryBudget
import org.bilberryhead.core.memory.MemoryKind
import org.bilberryhead.core.serving.EventSplitter
import org.bilberryhead.core.serving.StreamEvent

/** Why no more of a response is buffered. */
internal enum class BufferProblem(val reason: String) {
    LONG_BODY("the body of the answer is too long"),
    LONG_EVENT("an event is too long"),

    /** Says nothing about the endpoint. */
    NO_MEMORY("no memory for the rest of the answer"),
}

/** Holds what cannot be forwarded yet: a body, or the part of an event of a stream; both within a budget of memory. */
internal class ResponseBuffer(memory: MemoryBudget) {
    private val eventSplitter = EventSplitter()
    private val bodyBuffer = BlockBuffer()
    private val reservation = memory.newReservation(MemoryKind.ENDPOINT_RESPONSE)

    /** The body that has arrived. */
    val body: ByteArray get() = bodyBuffer.toByteArray()

    /** Whether part of an event has arrived. */
    val hasPartialEvent: Boolean get() = eventSplitter.hasPartialEvent

    /** Appends [bytes] to the body. */
    fun addToBody(bytes: ByteArray) = bodyBuffer.write(bytes)

    /** Adds [bytes] of a stream, and returns the events that they complete. */
    fun addToStream(bytes: ByteArray): List<StreamEvent> = eventSplitter.add(bytes)

    /** Reserves the memory of what is held; returns why it can't be held, or null. To be called after each addition. */
    fun reserve(): BufferProblem? = when {
        bodyBuffer.size > MAXIMUM_BODY_BYTES -> BufferProblem.LONG_BODY
        eventSplitter.partialEventBytes > MAXIMUM_EVENT_BYTES -> BufferProblem.LONG_EVENT
        reservation.tryResize(bodyBuffer.allocatedBytes + eventSplitter.allocatedBytes) -> null
        else -> BufferProblem.NO_MEMORY
    }

    /** Drops what is held, and returns its memory. */
    fun clear() {
        reservation.release()
        bodyBuffer.clear()
        eventSplitter.clear()
    }

    private companion object {
        /** Every response that is not a stream is held in memory until it is complete. */
        const val MAXIMUM_BODY_BYTES = 1024 * 1024
        const val MAXIMUM_EVENT_BYTES = 1024 * 1024
    }
}
