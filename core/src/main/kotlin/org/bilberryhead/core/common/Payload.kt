package org.bilberryhead.core.common

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ByteArraySerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** An opaque body, compared by content. The array must not be modified after construction. */
@Serializable(with = PayloadSerializer::class)
class Payload(val bytes: ByteArray) {
    /** Number of bytes. */
    val size: Int get() = bytes.size

    /** Returns the body decoded as UTF-8. */
    fun text(): String = bytes.decodeToString()

    override fun equals(other: Any?): Boolean = other is Payload && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "Payload(${bytes.size} bytes)"

    companion object {
        /** The empty body. */
        val EMPTY = Payload(ByteArray(0))

        /** Returns the UTF-8 encoding of [text]. */
        fun ofText(text: String): Payload = Payload(text.encodeToByteArray())

        /** Returns one body with the content of all [parts], in order. */
        fun join(parts: List<Payload>): Payload {
            if (parts.size == 1) return parts.single()
            val joined = ByteArray(parts.sumOf { it.size })
            var offset = 0
            for (part in parts) {
                part.bytes.copyInto(joined, offset)
                offset += part.size
            }
            return Payload(joined)
        }
    }
}

/** Reads and writes a [Payload] as a plain byte string. */
object PayloadSerializer : KSerializer<Payload> {
    private val delegate = ByteArraySerializer()
    override val descriptor = SerialDescriptor("Payload", delegate.descriptor)

    override fun serialize(encoder: Encoder, value: Payload) = encoder.encodeSerializableValue(delegate, value.bytes)

    override fun deserialize(decoder: Decoder): Payload = Payload(decoder.decodeSerializableValue(delegate))
}
