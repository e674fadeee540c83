package org.bilberryhead.core.testing.http

import java.io.InputStream
import java.io.OutputStream

/** One HTTP message as received: head and body. A truncated body ends with [TRUNCATION_MARK]. */
class RawMessage(val head: String, val body: String) {
    /** The status code of a response, or null for a request. */
    val status: Int? get() = head.takeIf { it.startsWith("HTTP/") }?.split(' ')?.getOrNull(1)?.toIntOrNull()

    /** Whether the stream ended before the body was complete. */
    val isTruncated: Boolean get() = body.endsWith(TRUNCATION_MARK)

    /** Returns the value of the first header [name], or null. */
    fun header(name: String): String? = head.lines()
        .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
        ?.substringAfter(':')
        ?.trim()

    override fun toString(): String = "$head\n$body"

    /** Marks added to message bodies. */
    companion object {
        /** Appended to a body whose stream ended before it was complete. */
        const val TRUNCATION_MARK = "(cut)"
    }
}

/** Reads the next message, or returns null when the stream ends before its head is complete. */
fun InputStream.readMessage(): RawMessage? {
    val message = readHead() ?: return null
    val length = message.header("Content-Length")?.toInt()
    return when {
        length != null -> RawMessage(message.head, readLength(length))
        message.header("Transfer-Encoding") == "chunked" -> RawMessage(message.head, readChunks())
        else -> message
    }
}

/** Reads the head of the next message, or returns null when the stream ends before it is complete. */
fun InputStream.readHead(): RawMessage? = readUntil("\r\n\r\n")?.let { RawMessage(it.trim(), "") }

/** Writes [text] and flushes. */
fun OutputStream.writeText(text: String) {
    write(text.encodeToByteArray())
    flush()
}

private fun InputStream.readLength(length: Int): String {
    val bytes = readNBytes(length)
    return bytes.decodeToString() + if (bytes.size < length) RawMessage.TRUNCATION_MARK else ""
}

private fun InputStream.readChunks(): String {
    val text = StringBuilder()
    while (true) {
        val size =
            readUntil("\r\n")?.trim()?.toIntOrNull(HEXADECIMAL_RADIX) ?: return "$text${RawMessage.TRUNCATION_MARK}"
        val chunk = readNBytes(size).decodeToString()
        readUntil("\r\n") ?: return "$text$chunk${RawMessage.TRUNCATION_MARK}"
        if (size == 0) return text.toString()
        text.append(chunk)
    }
}

/** Reads up to and including [end]; returns null when the stream ends before it. */
private fun InputStream.readUntil(end: String): String? {
    val text = StringBuilder()
    while (!text.endsWith(end)) {
        val next = read()
        if (next < 0) return null
        text.append(next.toChar())
    }
    return text.toString()
}

private const val HEXADECIMAL_RADIX = 16
