package org.bilberryhead.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.bilberryhead.core.memory.BlockBuffer

/** The body of a request. It is held once, in blocks, and each attempt to send it uses the same ones. */
internal class RequestBody private constructor(private val blocks: BlockBuffer) {
    /** Length in bytes. */
    val size: Int get() = blocks.size

    /** Returns a buffer to send that shares the blocks. */
    fun toSend(): ByteBuf {
        val parts = blocks.parts
        // With more parts than its maximum the buffer would copy them into one.
        val buffer = Unpooled.compositeBuffer(maxOf(parts.size, 1))
        parts.forEach { buffer.addComponent(true, Unpooled.wrappedBuffer(it)) }
        return buffer
    }

    /** Returns a copy in one array. */
    fun toByteArray(): ByteArray = blocks.toByteArray()

    companion object {
        /** Returns the body that [blocks] hold; they must not be changed any more. */
        fun of(blocks: BlockBuffer) = RequestBody(blocks)

        /** Returns a body that consists of [bytes]. */
        fun of(bytes: ByteArray) = RequestBody(BlockBuffer().apply { write(bytes) })
    }
}
