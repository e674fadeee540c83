package org.bilberryhead.protocol

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.bilberryhead.core.message.Message

/** Why a connection can not be used any further. */
sealed interface ProtocolError {
    /** The peer announced a message of [size] bytes, which is more than allowed. */
    data class MessageTooLarge(val size: Int) : ProtocolError

    /** The bytes are not a message of this protocol. */
    data class Malformed(val detail: String) : ProtocolError

    /** The peer speaks another version of the protocol. */
    data class WrongVersion(val version: Int) : ProtocolError

    /** The connection was closed, or an operation on it failed. */
    data class Closed(val detail: String) : ProtocolError

    /** Nothing arrived within the time that heartbeats allow. */
    data object Silent : ProtocolError
}

/** Turns messages into CBOR and back. */
@OptIn(ExperimentalSerializationApi::class)
object MessageCodec {
    /** Version that both ends of a connection must speak. */
    const val PROTOCOL_VERSION = 1

    /** Largest encoded message, in bytes. */
    const val MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024

    private val cbor = Cbor {
        alwaysUseByteString = true
        ignoreUnknownKeys = true
    }

    /** Returns the encoding of [message]. */
    fun encode(message: Message): ByteArray = cbor.encodeToByteArray(message)

    /** Returns the message encoded in [bytes], or [ProtocolError.Malformed]. */
    @Suppress("TooGenericExceptionCaught") // the CBOR library throws many kinds for bytes that are not CBOR
    fun decode(bytes: ByteArray): Result<Message, ProtocolError> = try {
        Ok(cbor.decodeFromByteArray<Message>(bytes))
    } catch (failure: RuntimeException) {
        Err(ProtocolError.Malformed(failure.message ?: "not a message"))
    }
}
