package org.bilberryhead.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.ByteToMessageDecoder
import org.bilberryhead.core.serving.BodyFraming
import org.bilberryhead.core.serving.ResponseGrammar
import java.nio.charset.StandardCharsets

/**
 * Passes the bytes of responses on to [decoder] as long as they follow [ResponseGrammar]. The decoder is more tolerant:
 * it drops what it cannot use of an invalid line and reads the rest as a response that was never sent.
 *
 * Heads, chunk lines and trailers are passed on once they are whole, content as it arrives, and each with what follows
 * it as far as the end of a head or of a response.
 *
 * @param onInvalid called once, with the reason, when the bytes are not a response; none are passed on afterwards
 */
internal class ResponseSyntaxCheck(private val decoder: ResponseDecoder, private val onInvalid: (String) -> Unit) :
    ByteToMessageDecoder() {
    /** What the next byte belongs to. */
    private enum class Part { HEAD, AFTER_HEAD, CONTENT, CHUNK_LINE, CHUNK_CONTENT, CHUNK_END, TRAILERS, INVALID }

    private var part = Part.HEAD

    /** Bytes of the content, or of the chunk, that are still to come. */
    private var remainingBytes = 0L

    /** Why the part that was read last is invalid; null when it is valid or not whole. */
    private var problem: String? = null

    /** Whether bytes have arrived that are not passed on yet. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
        // What follows the end of an exchange that closed the connection is read by nobody.
        if (part == Part.INVALID || !context.channel().isActive) return
        // The decoder has the head by now.
        if (part == Part.AFTER_HEAD) startBody()
        problem = null
        val length = readParts(input)
        // An invalid part is read again once those before it are passed on.
        if (length > 0) out += input.readRetainedSlice(length) else problem?.let(::reject)
    }

    private fun startBody() {
        remainingBytes = decoder.bodyLength ?: Long.MAX_VALUE
        part = when {
            decoder.bodyFraming == BodyFraming.CHUNKS -> Part.CHUNK_LINE
            remainingBytes > 0 -> Part.CONTENT
            else -> Part.HEAD
        }
    }

    /**
     * Returns the number of bytes of [input] that can be passed on together: those up to the end of a head or of a
     * response, or up to what is not whole yet.
     */
    private fun readParts(input: ByteBuf): Int {
        var length = 0
        do {
            val partLength = readPart(input, length)
            length += partLength
        } while (partLength > 0 && part != Part.HEAD && part != Part.AFTER_HEAD)
        return length
    }

    /** Returns the length of the part of [input] at [offset]: 0 when more has to arrive, or when it is invalid. */
    private fun readPart(input: ByteBuf, offset: Int): Int = when (part) {
        Part.HEAD -> readFields(input, offset, hasStatusLine = true, next = Part.AFTER_HEAD)
        Part.CONTENT -> readContent(input, offset, next = Part.HEAD)
        Part.CHUNK_LINE -> readChunkLine(input, offset)
        Part.CHUNK_CONTENT -> readContent(input, offset, next = Part.CHUNK_END)
        Part.CHUNK_END -> readChunkEnd(input, offset)
        Part.TRAILERS -> readFields(input, offset, hasStatusLine = false, next = Part.HEAD)
        Part.AFTER_HEAD, Part.INVALID -> 0
    }

    /** Reads lines up to and including an empty one. */
    private fun readFields(input: ByteBuf, offset: Int, hasStatusLine: Boolean, next: Part): Int {
        var length = 0
        var isStatusLine = hasStatusLine
        while (true) {
            val line = lineAt(input, offset + length) ?: return 0
            length += line.length + LINE_BREAK.length
            val problem = when {
                isStatusLine -> ResponseGrammar.problemOfStatusLine(line)
                line.isEmpty() -> break
                else -> ResponseGrammar.problemOfField(line)
            }
            if (problem != null) return invalid(problem)
            isStatusLine = false
        }
        part = next
        return length
    }

    private fun readContent(input: ByteBuf, offset: Int, next: Part): Int {
        val length = minOf(remainingBytes, input.readableBytes().toLong() - offset)
        remainingBytes -= length
        if (remainingBytes == 0L) part = next
        return length.toInt()
    }

    private fun readChunkLine(input: ByteBuf, offset: Int): Int {
        val line = lineAt(input, offset) ?: return 0
        ResponseGrammar.problemOfChunkLine(line)?.let { return invalid(it) }
        remainingBytes = ResponseGrammar.chunkLengthOf(line)
        part = if (remainingBytes > 0) Part.CHUNK_CONTENT else Part.TRAILERS
        return line.length + LINE_BREAK.length
    }

    private fun readChunkEnd(input: ByteBuf, offset: Int): Int {
        if (input.readableBytes() - offset < LINE_BREAK.length) return 0
        val end = input.toString(input.readerIndex() + offset, LINE_BREAK.length, StandardCharsets.ISO_8859_1)
        if (end != LINE_BREAK) return invalid("a chunk does not end where its length says")
        part = Part.CHUNK_LINE
        return LINE_BREAK.length
    }

    /**
     * Returns the line that starts [offset] bytes after the next byte of [input], without its line break. Returns null
     * when it is not whole, and when it is invalid because it is too long or ends with a line feed alone.
     */
    private fun lineAt(input: ByteBuf, offset: Int): String? {
        val start = input.readerIndex() + offset
        val end = input.indexOf(start, input.writerIndex(), LINE_FEED)
        if (end < 0) {
            if (input.readableBytes() - offset > MAXIMUM_LINES_BYTES) invalid("a line of the response does not end")
            return null
        }
        val line = input.toString(start, end + 1 - start, StandardCharsets.ISO_8859_1)
        if (!line.endsWith(LINE_BREAK)) {
            invalid("a line of the response does not end with CRLF")
            return null
        }
        return line.removeSuffix(LINE_BREAK)
    }

    private fun invalid(reason: String): Int {
        problem = reason
        return 0
    }

    private fun reject(reason: String) {
        part = Part.INVALID
        onInvalid(reason)
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val LINE_BREAK = "\r\n"

        /** More than the largest head that the decoder accepts. */
        const val MAXIMUM_LINES_BYTES = 16 * 1024
    }
}
