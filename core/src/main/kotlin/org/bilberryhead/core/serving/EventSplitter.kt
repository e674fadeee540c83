package org.bilberryhead.core.serving

import java.io.ByteArrayOutputStream

/**
 * One whole event of a stream.
 *
 * @property bytes the event as it came, with the blank line that ends it
 * @property id its number, or null when it has none
 */
class StreamEvent(val bytes: ByteArray, val id: Long?)

/** Cuts the bytes of an event stream into whole events. */
class EventSplitter {
    private val pending = ByteArrayOutputStream()
    private var lineLength = 0

    /** Whether bytes of an event that has not ended are held. */
    val hasPartialEvent: Boolean get() = pending.size() > 0

    /** Takes the next [bytes] and returns the events that they complete. */
    fun add(bytes: ByteArray): List<StreamEvent> {
        val events = mutableListOf<StreamEvent>()
        for (byte in bytes) {
            pending.write(byte.toInt())
            when (byte) {
                NEW_LINE -> {
                    if (lineLength == 0) takeEvent()?.let(events::add)
                    lineLength = 0
                }

                CARRIAGE_RETURN -> Unit
                else -> lineLength++
            }
        }
        return events
    }

    private fun takeEvent(): StreamEvent? {
        val bytes = pending.toByteArray()
        pending.reset()
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

/** Whether events of one answer follow each other without a gap, over all runs that it was put together from. */
class EventOrder(lastDelivered: Long?) {
    /** Number of the last event that was delivered, or null before the first. */
    var last: Long? = lastDelivered
        private set

    /** Takes the next event; returns false when it is not the one that must follow. */
    fun accept(event: StreamEvent): Boolean {
        val id = event.id ?: return true
        val before = last
        if (before != null && id != before + 1) return false
        last = id
        return true
    }
}
