package org.bilberryhead.entry

import java.nio.ByteBuffer
import java.security.MessageDigest

/** The SHA-256 digest of a bearer token. Digests are compared in constant time. */
internal class TokenDigest private constructor(private val bytes: ByteArray) {
    override fun equals(other: Any?): Boolean = other is TokenDigest && MessageDigest.isEqual(bytes, other.bytes)

    override fun hashCode(): Int = ByteBuffer.wrap(bytes).int

    override fun toString(): String = "TokenDigest"

    companion object {
        /** Length of a digest in hexadecimal digits. */
        const val HEX_DIGITS = 64

        private val hexadecimal = Regex("[0-9A-Fa-f]{$HEX_DIGITS}")

        /** Returns the digest of [token]. */
        fun ofToken(token: String): TokenDigest =
            TokenDigest(MessageDigest.getInstance("SHA-256").digest(token.encodeToByteArray()))

        /** Parses [text] of [HEX_DIGITS] hexadecimal digits; returns null when it is malformed. */
        fun parse(text: String): TokenDigest? =
            if (hexadecimal.matches(text)) TokenDigest(text.hexToByteArray()) else null
    }
}
