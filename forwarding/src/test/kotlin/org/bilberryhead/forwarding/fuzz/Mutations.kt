package org.bilberryhead.forwarding.fuzz

import io.kotest.property.Arb
import io.kotest.property.arbitrary.arbitrary
import kotlin.random.Random

/** Fragments that often break decoders: extreme numbers, delimiters, nesting, and bytes that are no text. */
private val FRAGMENTS = listOf(
    "0", "-1", "2147483647", "2147483648", "-9223372036854775808", "9223372036854775807", "99999999999999999999",
    "1e309", "NaN", "Infinity", "null", "true", "{}", "[]", "\"\"", "[".repeat(2_000), "{\"a\":".repeat(2_000),
    "\r\n", "\r\n\r\n", "\n", " ", "\t", ":", ",", ";", "/", "%", "\u0000", "\ufffd", "a".repeat(5_000),
    "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "X-Request-Id: r\r\n", "HTTP/1.1 200 OK\r\n",
).map { it.encodeToByteArray() } + listOf(
    byteArrayOf(-1, -1, -1, -1),
    byteArrayOf(0x7f, -1, -1, -1, -1, -1, -1, -1),
    // CBOR: heads of a byte string, a text and an array that claim to be very long, and an array without an end.
    byteArrayOf(0x5b, 0x7f, -1, -1, -1, -1, -1, -1, -1),
    byteArrayOf(0x7a, 0x7f, -1, -1, -1),
    byteArrayOf(-102, 0x7f, -1, -1, -1),
    ByteArray(3_000) { -97 },
)

private const val MAXIMUM_MUTATIONS = 6
private const val MAXIMUM_RANGE = 40

/** Generates mutations of [corpus], a list of valid inputs. Every tenth input is one of them, unchanged. */
internal fun mutationsOf(corpus: List<ByteArray>): Arb<ByteArray> = arbitrary { source ->
    val random = source.random
    val seed = corpus.random(random)
    if (random.nextInt(10) == 0) return@arbitrary seed
    (0..random.nextInt(MAXIMUM_MUTATIONS)).fold(seed) { bytes, _ -> mutate(bytes, corpus, random) }
}

private fun mutate(bytes: ByteArray, corpus: List<ByteArray>, random: Random): ByteArray {
    if (bytes.isEmpty()) return FRAGMENTS.random(random)
    val start = random.nextInt(bytes.size)
    val end = minOf(bytes.size, start + 1 + random.nextInt(MAXIMUM_RANGE))
    return when (random.nextInt(7)) {
        0 -> bytes.copyOf().also { it[start] = random.nextInt().toByte() }
        1 -> bytes.copyOfRange(0, start) + bytes.copyOfRange(end, bytes.size)
        2 -> bytes.copyOfRange(0, end) + bytes.copyOfRange(start, bytes.size)
        3 -> bytes.copyOfRange(0, start) + FRAGMENTS.random(random) + bytes.copyOfRange(start, bytes.size)
        4 -> bytes.copyOfRange(0, start) + FRAGMENTS.random(random) + bytes.copyOfRange(end, bytes.size)
        5 -> bytes.copyOfRange(0, start)
        else -> corpus.random(random).let {
            bytes.copyOfRange(0, start) + it.copyOfRange(minOf(start, it.size), it.size)
        }
    }
}
