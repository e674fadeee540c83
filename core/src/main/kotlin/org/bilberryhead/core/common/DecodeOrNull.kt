package org.bilberryhead.core.common

/**
 * Returns what [decode] returns, or null when it rejects its input. For input that any other program can have written:
 * the decoders of JSON and CBOR report invalid input by several types of exception, and deep nesting by an overflow of
 * the stack. The caller logs what it was reading.
 */
@Suppress("TooGenericExceptionCaught", "SwallowedException")
inline fun <T : Any> decodeOrNull(decode: () -> T?): T? = try {
    decode()
} catch (_: RuntimeException) {
    null
} catch (_: StackOverflowError) {
    null
}
