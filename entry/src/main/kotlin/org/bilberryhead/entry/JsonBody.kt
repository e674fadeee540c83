package org.bilberryhead.entry

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.io.ByteArrayOutputStream
import java.nio.charset.CharacterCodingException

/** Reads JSON bodies and checks that they are well-formed. */
internal object JsonBody {
    private const val CHUNK_BYTES = 16 * 1024
    private val number = Regex("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?")
    private val keywords = setOf("true", "false", "null")

    /** Reads [channel] to its end; returns null when it holds more than [maximumBytes] bytes. */
    suspend fun readUpTo(channel: ByteReadChannel, maximumBytes: Long): ByteArray? {
        val collected = ByteArrayOutputStream()
        val chunk = ByteArray(CHUNK_BYTES)
        while (true) {
            val count = channel.readAvailable(chunk)
            if (count < 0) return collected.toByteArray()
            if (collected.size() + count > maximumBytes) return null
            collected.write(chunk, 0, count)
        }
    }

    /** Whether [bytes] are one well-formed JSON value in UTF-8. */
    fun isWellFormed(bytes: ByteArray): Boolean = try {
        areLiteralsValid(Json.parseToJsonElement(bytes.decodeToString(throwOnInvalidSequence = true)))
    } catch (_: CharacterCodingException) {
        false
    } catch (_: SerializationException) {
        false
    }

    /** Checks every literal, because the parser accepts unquoted words as literals. */
    private fun areLiteralsValid(root: JsonElement): Boolean {
        val unchecked = ArrayDeque(listOf(root))
        while (unchecked.isNotEmpty()) {
            when (val element = unchecked.removeLast()) {
                is JsonObject -> unchecked.addAll(element.values)
                is JsonArray -> unchecked.addAll(element)
                JsonNull -> Unit
                is JsonPrimitive -> if (!isLiteralValid(element)) return false
            }
        }
        return true
    }

    private fun isLiteralValid(literal: JsonPrimitive): Boolean =
        literal.isString || literal.content in keywords || number.matches(literal.content)
}
