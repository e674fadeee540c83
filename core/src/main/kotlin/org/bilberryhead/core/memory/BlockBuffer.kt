package org.bilberryhead.core.memory

import java.nio.ByteBuffer

/** Collects bytes in blocks, so that no byte is copied when the buffer grows. */
class BlockBuffer {
    private val blocks = mutableListOf<ByteArray>()
    private var lastBlockLength = 0

    /** Number of bytes that were written. */
    var size = 0
        private set

    /** Size of all blocks, in bytes. */
    var allocatedBytes = 0L
        private set

    /** The content in the blocks that hold it; the buffer must not be changed while they are in use. */
    val parts: List<ByteBuffer>
        get() = blocks.mapIndexed { index, block ->
            ByteBuffer.wrap(block, 0, if (index == blocks.lastIndex) lastBlockLength else block.size)
        }

    /** Appends [bytes]. */
    fun write(bytes: ByteArray) {
        var offset = 0
        write(bytes.size) { block, start, length ->
            bytes.copyInto(block, start, offset, offset + length)
            offset += length
        }
    }

    /** Appends [count] bytes; [read] puts the next ones into an array, from a start and up to a length. */
    fun write(count: Int, read: (block: ByteArray, start: Int, length: Int) -> Unit) {
        var remaining = count
        while (remaining > 0) {
            val block = blockWithRoom(remaining)
            val length = minOf(block.size - lastBlockLength, remaining)
            read(block, lastBlockLength, length)
            lastBlockLength += length
            size += length
            remaining -= length
        }
    }

    private fun blockWithRoom(wanted: Int): ByteArray {
        val last = blocks.lastOrNull()
        if (last != null && lastBlockLength < last.size) return last
        // Small parts share a block: many arrays of a few bytes each would take many times their content.
        val smallest = minOf(FIRST_BLOCK_BYTES + size, MAXIMUM_BLOCK_BYTES)
        lastBlockLength = 0
        return ByteArray(wanted.coerceIn(smallest, MAXIMUM_BLOCK_BYTES)).also {
            blocks += it
            allocatedBytes += it.size
        }
    }

    /** Returns the content in one array. */
    fun toByteArray(): ByteArray {
        val content = ByteArray(size)
        var offset = 0
        for (block in blocks) {
            val length = minOf(block.size, size - offset)
            block.copyInto(content, offset, 0, length)
            offset += length
        }
        return content
    }

    /** Removes the content, and keeps no memory for it. */
    fun clear() {
        blocks.clear()
        lastBlockLength = 0
        size = 0
        allocatedBytes = 0
    }

    private companion object {
        const val FIRST_BLOCK_BYTES = 512
        const val MAXIMUM_BLOCK_BYTES = 16 * 1024
    }
}
