package org.bilberryhead.core.common

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlin.time.Duration

/** Reads and writes a duration in Kotlin's notation, such as `250ms` or `4s`. */
object DurationTextSerializer : KSerializer<Duration> {
    override val descriptor = PrimitiveSerialDescriptor("DurationText", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: Duration) = encoder.encodeString(value.toString())

    override fun deserialize(decoder: Decoder): Duration {
        val text = decoder.decodeString()
        return Duration.parseOrNull(text)
            ?: throw SerializationException("'$text' is not a duration such as 250ms or 4s")
    }
}
