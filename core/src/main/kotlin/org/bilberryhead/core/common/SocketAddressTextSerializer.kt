package org.bilberryhead.core.common

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Reads and writes an address as `host:port`. */
object SocketAddressTextSerializer : KSerializer<SocketAddress> {
    override val descriptor = PrimitiveSerialDescriptor("SocketAddressText", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: SocketAddress) = encoder.encodeString(value.toString())

    override fun deserialize(decoder: Decoder): SocketAddress {
        val text = decoder.decodeString()
        val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in PORTS }
            ?: throw SerializationException("'$text' is not an address such as 10.0.0.1:8080")
        return SocketAddress(text.substringBeforeLast(':'), port)
    }

    private val PORTS = 1..65_535
}
