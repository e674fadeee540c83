package org.bilberryhead.core.memory

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

    /** Appends [bytes]. */
    fun write(bytes: ByteArray) {
        var offset = 0
        while (offset < bytes.size) {
            val block = blockWithRoom(bytes.size - offset)
            val length = minOf(block.size - lastBlockLength, bytes.size - offset)
            bytes.copyInto(block, lastBlockLength, offset, offset + length)
            lastBlockLength += length
            offset += length
        }
        size += bytes.size
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
