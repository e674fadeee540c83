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
 * Heads are passed on once they are whole, the rest as it arrives.
 *
 * @param onInvalid called once, with the reason, when the bytes are not a response; none are passed on afterwards
 */
internal class ResponseSyntaxCheck(private val decoder: ResponseDecoder, private val onInvalid: (String) -> Unit) :
    ByteToMessageDecoder() {
    /** What the next byte belongs to. */
    private enum class Part { HEAD, AFTER_HEAD, BODY, INVALID }

    private var part = Part.HEAD

    /** Whether bytes have arrived that are not passed on yet. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    /** Expects the head of a response from now on. */
    fun expectHead() {
        part = Part.HEAD
    }

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, out: MutableList<Any>) {
        // What follows the end of an exchange that closed the connection is read by nobody.
        if (part == Part.INVALID || !context.channel().isActive) return
        // The decoder has the head by now.
        if (part == Part.AFTER_HEAD) startBody()
        val length = if (part == Part.HEAD) readHead(input) else input.readableBytes()
        if (length > 0) out += input.readRetainedSlice(length)
    }

    private fun startBody() {
        part = if (decoder.bodyFraming == BodyFraming.NO_BODY) Part.HEAD else Part.BODY
    }

    /** Returns the number of bytes of [input] that are passed on: 0 when more have to arrive, or when it is invalid. */
    private fun readHead(input: ByteBuf): Int {
        var length = 0
        var isStatusLine = true
        while (true) {
            val line = lineAt(input, length) ?: return 0
            length += line.length + LINE_BREAK.length
            val problem = when {
                isStatusLine -> ResponseGrammar.problemOfStatusLine(line)
                line.isEmpty() -> break
                else -> ResponseGrammar.problemOfField(line)
            }
            if (problem != null) return reject(problem)
            isStatusLine = false
        }
        part = Part.AFTER_HEAD
        return length
    }

    /**
     * Returns the line that starts [offset] bytes after the next byte of [input], without its line break. Returns null
     * when it is not whole, and when it is rejected because it is too long or ends with a line feed alone.
     */
    private fun lineAt(input: ByteBuf, offset: Int): String? {
        val start = input.readerIndex() + offset
        val end = input.indexOf(start, input.writerIndex(), LINE_FEED)
        if (end < 0) {
            if (input.readableBytes() > MAXIMUM_LINES_BYTES) reject("a line of the response does not end")
            return null
        }
        val line = input.toString(start, end + 1 - start, StandardCharsets.ISO_8859_1)
        if (!line.endsWith(LINE_BREAK)) {
            reject("a line of the response does not end with CRLF")
            return null
        }
        return line.removeSuffix(LINE_BREAK)
    }

    private fun reject(reason: String): Int {
        part = Part.INVALID
        onInvalid(reason)
        return 0
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val LINE_BREAK = "\r\n"

        /** More than the largest head that the decoder accepts. */
        const val MAXIMUM_LINES_BYTES = 16 * 1024
    }
}
