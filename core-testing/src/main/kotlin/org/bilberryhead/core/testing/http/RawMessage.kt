package org.bilberryhead.core.testing.http

import java.io.InputStream
import java.io.OutputStream

/** One HTTP message as it came: its head and its body. A body that was cut off ends with [CUT]. */
class RawMessage(val head: String, val body: String) {
    /** The status of an answer, or null for a request. */
    val status: Int? get() = head.takeIf { it.startsWith("HTTP/") }?.split(' ')?.getOrNull(1)?.toIntOrNull()

    /** Whether the body was cut off. */
    val isCut: Boolean get() = body.endsWith(CUT)

    /** Returns the value of the first header [name], or null. */
    fun header(name: String): String? = head.lines()
        .firstOrNull { it.startsWith("$name:", ignoreCase = true) }
        ?.substringAfter(':')
        ?.trim()

    override fun toString(): String = "$head\n$body"

    /** Marks of message bodies. */
    companion object {
        /** Stands at the end of a body that was cut off. */
        const val CUT = "(cut)"
    }
}

/** Reads the next message, or returns null when the stream ends before its head is complete. */
fun InputStream.readMessage(): RawMessage? {
    val head = readUntil("\r\n\r\n") ?: return null
    val message = RawMessage(head.trim(), "")
    val length = message.header("Content-Length")?.toInt()
    return when {
        length != null -> RawMessage(message.head, readLength(length))
        message.header("Transfer-Encoding") == "chunked" -> RawMessage(message.head, readChunks())
        else -> message
    }
}

/** Writes [text] at once. */
fun OutputStream.writeText(text: String) {
    write(text.encodeToByteArray())
    flush()
}

private fun InputStream.readLength(length: Int): String {
    val bytes = readNBytes(length)
    return bytes.decodeToString() + if (bytes.size < length) RawMessage.CUT else ""
}

private fun InputStream.readChunks(): String {
    val text = StringBuilder()
    while (true) {
        val size = readUntil("\r\n")?.trim()?.toIntOrNull(HEXADECIMAL) ?: return "$text${RawMessage.CUT}"
        val chunk = readNBytes(size).decodeToString()
        readUntil("\r\n") ?: return "$text$chunk${RawMessage.CUT}"
        if (size == 0) return text.toString()
        text.append(chunk)
    }
}

/** Returns the bytes up to and with [end], or null when the stream ended before. */
private fun InputStream.readUntil(end: String): String? {
    val text = StringBuilder()
    while (!text.endsWith(end)) {
        val next = read()
        if (next < 0) return null
        text.append(next.toChar())
    }
    return text.toString()
}

private const val HEXADECIMAL = 16
