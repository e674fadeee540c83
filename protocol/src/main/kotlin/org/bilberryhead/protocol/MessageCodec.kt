package org.bilberryhead.protocol

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.bilberryhead.core.message.Message

/** Reason why a connection can no longer be used. */
sealed interface ProtocolError {
    /** The peer announced a message of [size] bytes, which is not between 1 and the maximum. */
    data class MessageTooLarge(val size: Int) : ProtocolError

    /** The received bytes are not a valid message, or the message is of a type that is not allowed at this point. */
    data class Malformed(val detail: String) : ProtocolError

    /** The peer uses another [version] of the protocol. */
    data class WrongVersion(val version: Int) : ProtocolError

    /** The connection was closed, or an operation on it failed. */
    data class Closed(val detail: String) : ProtocolError

    /** No message arrived before the timeout. */
    data object Silent : ProtocolError
}

/** Encodes messages as CBOR and decodes them. */
@OptIn(ExperimentalSerializationApi::class)
object MessageCodec {
    /** Version of the protocol, which must be the same at both ends of a connection. */
    const val PROTOCOL_VERSION = 1

    /** Maximum size of an encoded message, in bytes. */
    const val MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024

    private val cbor = Cbor {
        alwaysUseByteString = true
        ignoreUnknownKeys = true
    }

    /** Returns the encoding of [message]. */
    fun encode(message: Message): ByteArray = cbor.encodeToByteArray(message)

    /** Returns the message encoded in [bytes], or [ProtocolError.Malformed]. */
    @Suppress("TooGenericExceptionCaught") // the CBOR library throws many types of exception for invalid bytes
    fun decode(bytes: ByteArray): Result<Message, ProtocolError> = try {
        Ok(cbor.decodeFromByteArray<Message>(bytes))
    } catch (failure: RuntimeException) {
        Err(ProtocolError.Malformed(failure.message ?: "not a message"))
    }
}
