package org.bilberryhead.soak

import java.io.IOException
import java.io.InputStream
import kotlin.random.Random

/**
 * What a caller received of one response.
 *
 * @property head the status line and the headers; null when the head is incomplete
 * @property isWhole whether the end of the response was received
 * @property end how the connection ended, if it did so before the response
 */
internal class ReceivedResponse(val head: String?, val body: String, val isWhole: Boolean, val end: String?) {
    /** Status code, or null when the head is incomplete. */
    val status: Int? get() = head?.split(' ')?.getOrNull(1)?.toIntOrNull()

    /** Returns the value of the header [name], or null. */
    fun header(name: String): String? = head?.lines()
        ?.firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()
}

/**
 * Reads one response byte by byte and keeps all that was received when the connection ends early.
 *
 * @param waits random choices of a slow caller, who reads a few bytes, waits and goes on; null reads at once
 */
internal class ResponseReader(private val input: InputStream, private val waits: Random?) {
    private val received = StringBuilder()
    private var remainingWaits = MAX_WAITS

    /** Reads the response; one to HEAD has no body. */
    fun read(isHead: Boolean): ReceivedResponse {
        var head: String? = null
        val end = try {
            head = readUntil("\r\n\r\n")
            received.clear()
            if (!isHead) readBody(ReceivedResponse(head, "", isWhole = false, end = null))
            null
        } catch (failure: IOException) {
            failure.toString()
        }
        return ReceivedResponse(head, received.toString(), isWhole = end == null, end)
    }

    private fun readBody(response: ReceivedResponse) {
        val length = response.header("Content-Length")
        when {
            length != null -> readBytes(length.toIntOrNull() ?: throw IOException("a length of $length"))
            response.header("Transfer-Encoding") == "chunked" -> readChunks()
            else -> while (true) received.append(nextOrEnd() ?: return)
        }
    }

    private fun readChunks() {
        do {
            val start = received.length
            val line = readUntil("\r\n").substring(start).trim()
            val size = line.toIntOrNull(HEXADECIMAL_RADIX) ?: throw IOException("a chunk begins with $line")
            received.setLength(start)
            readBytes(size)
            val end = received.length
            readUntil("\r\n")
            received.setLength(end)
        } while (size > 0)
    }

    private fun readBytes(count: Int) = repeat(count) {
        received.append(nextOrEnd() ?: throw IOException("ended with ${count - it} bytes of a length to come"))
    }

    private fun readUntil(end: String): String {
        val start = received.length
        while (received.length - start < end.length || !received.endsWith(end)) {
            received.append(nextOrEnd() ?: throw IOException("ended in an orderly way"))
        }
        return received.toString()
    }

    private fun nextOrEnd(): Char? {
        if (waits != null && remainingWaits > 0 && received.length % WAIT_EVERY_BYTES == 1) {
            remainingWaits--
            Thread.sleep(waits.nextLong(MAX_WAIT_MS))
        }
        return input.read().takeIf { it >= 0 }?.toChar()
    }

    private companion object {
        const val HEXADECIMAL_RADIX = 16
        const val WAIT_EVERY_BYTES = 300
        const val MAX_WAITS = 8
        const val MAX_WAIT_MS = 250L
    }
}
