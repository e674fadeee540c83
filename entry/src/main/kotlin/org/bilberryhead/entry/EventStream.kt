package org.bilberryhead.entry

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.Payload
import java.nio.ByteBuffer
import java.nio.CharBuffer
import java.nio.charset.CodingErrorAction
import java.util.Base64

/**
 * One part of a streamed answer.
 *
 * @property number counts from 0 without gaps
 * @property text the part as text; null when it is not UTF-8
 * @property base64 the part when it is not UTF-8
 */
@Serializable
data class ResponsePart(val number: Int, val text: String? = null, val base64: String? = null)

/** The end of a streamed answer that is complete with [parts] parts. */
@Serializable
data class ResponseEnd(val requestId: String, val parts: Int)

/** Writes a streamed answer as server-sent events: `part` for each part, then one `end` or `error`. */
internal class EventStream(private val output: ByteWriteChannel) {
    private val decoder = Utf8PartDecoder()
    private var count = 0

    /** Writes one part of the answer. */
    suspend fun writePart(payload: Payload) {
        decoder.decode(payload.bytes).forEach { write(it) }
        output.flush()
    }

    /** Writes the end of the complete answer. */
    suspend fun writeEnd(requestId: String) {
        decoder.takePending()?.let { write(it) }
        event("end", Json.encodeToString(ResponseEnd(requestId, count)))
        output.flush()
    }

    /** Writes that the answer can not be completed. */
    suspend fun writeError(problem: Problem) {
        event("error", problem.toJson())
        output.flush()
    }

    private suspend fun write(content: PartContent) {
        val part = when (content) {
            is PartContent.Text -> ResponsePart(count, text = content.text)
            is PartContent.Binary -> ResponsePart(count, base64 = Base64.getEncoder().encodeToString(content.bytes))
        }
        event("part", Json.encodeToString(part))
        count++
    }

    private suspend fun event(name: String, data: String) = output.writeStringUtf8("event: $name\ndata: $data\n\n")
}

/** What a part holds. */
internal sealed interface PartContent {
    /** Valid UTF-8. */
    data class Text(val text: String) : PartContent

    /** Bytes that are not UTF-8. */
    class Binary(val bytes: ByteArray) : PartContent
}

/** Decodes a stream of bytes whose parts may end in the middle of a character. */
internal class Utf8PartDecoder {
    private val decoder = Charsets.UTF_8.newDecoder()
        .onMalformedInput(CodingErrorAction.REPORT)
        .onUnmappableCharacter(CodingErrorAction.REPORT)
    private var pending = ByteArray(0)

    /** Returns what [bytes] and the rest of the part before hold; a character that is cut off waits. */
    fun decode(bytes: ByteArray): List<PartContent> {
        val input = ByteBuffer.wrap(pending + bytes)
        val text = CharBuffer.allocate(input.remaining())
        decoder.reset()
        val isMalformed = decoder.decode(input, text, false).isError
        pending = ByteArray(0)
        if (isMalformed) return listOf(PartContent.Binary(input.array()))
        pending = ByteArray(input.remaining()).also { input.get(it) }
        text.flip()
        return if (text.isEmpty()) emptyList() else listOf(PartContent.Text(text.toString()))
    }

    /** Returns the bytes that wait for the rest of their character, or null when none do. */
    fun takePending(): PartContent? = if (pending.isEmpty()) null else PartContent.Binary(pending)
}
