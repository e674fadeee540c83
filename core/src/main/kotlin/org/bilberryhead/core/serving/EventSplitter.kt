package org.bilberryhead.core.serving

import org.bilberryhead.core.memory.BlockBuffer

/**
 * One complete server-sent event.
 *
 * @property bytes the event as received, with the blank line that ends it
 * @property id number in the id field of the event, or null when it has none
 */
class StreamEvent(val bytes: ByteArray, val id: Long?)

/** Splits the bytes of an event stream into complete events. */
class EventSplitter {
    private val pending = BlockBuffer()
    private var lineLength = 0

    /** Whether bytes of an incomplete event are buffered. */
    val hasPartialEvent: Boolean get() = partialEventBytes > 0

    /** Number of buffered bytes of an incomplete event. */
    val partialEventBytes: Int get() = pending.size

    /** Memory of the buffer of an incomplete event, in bytes. */
    val allocatedBytes: Long get() = pending.allocatedBytes

    /** Adds the next [bytes] of the stream and returns the events that they complete. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        val events = mutableListOf<StreamEvent>()
        var start = 0
        for ((index, byte) in bytes.withIndex()) {
            when (byte) {
                NEW_LINE -> {
                    if (lineLength == 0) {
                        pending.write(bytes.copyOfRange(start, index + 1))
                        start = index + 1
                        takeEvent()?.let(events::add)
                    }
                    lineLength = 0
                }

                CARRIAGE_RETURN -> Unit
                else -> lineLength++
            }
        }
        if (start < bytes.size) pending.write(bytes.copyOfRange(start, bytes.size))
        return events
    }

    /** Removes the bytes of an incomplete event. */
    fun clear() = pending.clear()

    private fun takeEvent(): StreamEvent? {
        val bytes = pending.toByteArray()
        pending.clear()
        val lines = bytes.decodeToString().lineSequence()
        val id = lines.firstOrNull { it.startsWith(ID_FIELD) }?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()
        return StreamEvent(bytes, id)
    }

    private companion object {
        const val NEW_LINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}

/**
 * Checks that the events of one response have consecutive numbers, also when another endpoint resumes the stream.
 *
 * @param lastReceivedByCaller number of the last event that the caller has received, or null
 * @param requiresNumbers whether every event must have a number; otherwise those before the first with one need none
 */
class EventOrder(lastReceivedByCaller: Long?, private val requiresNumbers: Boolean = false) {
    /** Number of the last event that was delivered, or null before the first. */
    var lastDelivered: Long? = lastReceivedByCaller
        private set

    /** Records the next event of the response. Returns false when its number does not follow the last one. */
    fun recordNext(event: StreamEvent): Boolean {
        val previous = lastDelivered
        val id = event.id ?: return previous == null && !requiresNumbers
        if (previous != null && id != previous + 1) return false
        lastDelivered = id
        return true
    }
}
