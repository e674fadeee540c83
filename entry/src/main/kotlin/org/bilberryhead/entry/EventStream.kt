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
 * One part of a streamed response.
 *
 * @property number sequence number of the part, from 0 without gaps
 * @property text the content as text; null when it is not valid UTF-8
 * @property base64 the content in Base64 when it is not valid UTF-8; null otherwise
 */
@Serializable
data class ResponsePart(val number: Int, val text: String? = null, val base64: String? = null)

/** End of a complete streamed response of [parts] parts. */
@Serializable
data class ResponseEnd(val requestId: String, val parts: Int)

/** Writes a streamed response as server-sent events: `part` for each part, then one `end` or `error`. */
internal class EventStream(private val output: ByteWriteChannel) {
    private val decoder = Utf8PartDecoder()
    private var count = 0

    /** Writes one part of the response. */
    suspend fun writePart(payload: Payload) {
        decoder.decode(payload.bytes).forEach { write(it) }
        output.flush()
    }

    /** Writes the end of the complete response. */
    suspend fun writeEnd(requestId: String) {
        decoder.pendingContent()?.let { write(it) }
        writeEvent("end", Json.encodeToString(ResponseEnd(requestId, count)))
        output.flush()
    }

    /** Writes [problem] as the reason why the response cannot be completed. */
    suspend fun writeError(problem: Problem) {
        writeEvent("error", problem.toJson())
        output.flush()
    }

    private suspend fun write(content: PartContent) {
        val part = when (content) {
            is PartContent.Text -> ResponsePart(count, text = content.text)
            is PartContent.Binary -> ResponsePart(count, base64 = Base64.getEncoder().encodeToString(content.bytes))
        }
        writeEvent("part", Json.encodeToString(part))
        count++
    }

    private suspend fun writeEvent(name: String, data: String) = output.writeStringUtf8("event: $name\ndata: $data\n\n")
}

/** Content of a part. */
internal sealed interface PartContent {
    /** Valid UTF-8. */
    data class Text(val text: String) : PartContent

    /** Bytes that are not valid UTF-8. */
    class Binary(val bytes: ByteArray) : PartContent
}

/** Decodes a stream of UTF-8 bytes whose parts may end in the middle of a character. */
internal class Utf8PartDecoder {
    private val decoder = Charsets.UTF_8.newDecoder()
        .onMalformedInput(CodingErrorAction.REPORT)
        .onUnmappableCharacter(CodingErrorAction.REPORT)
    private var pending = ByteArray(0)

    /** Decodes [bytes] after the bytes pending from the previous part; an incomplete last character becomes pending. */
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

    /** Returns the pending bytes of an incomplete character, or null when there are none. */
    fun pendingContent(): PartContent? = if (pending.isEmpty()) null else PartContent.Binary(pending)
}
