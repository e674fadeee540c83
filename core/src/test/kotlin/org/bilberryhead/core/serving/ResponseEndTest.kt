package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val plainPlaces = listOf(
    ResponsePlace.BEFORE_STATUS_LINE,
    ResponsePlace.INSIDE_HEAD,
    ResponsePlace.AFTER_HEAD,
    ResponsePlace.INSIDE_BODY,
)

private val streamPlaces = listOf(
    ResponsePlace.BEFORE_STATUS_LINE,
    ResponsePlace.INSIDE_HEAD,
    ResponsePlace.AFTER_HEAD,
    ResponsePlace.INSIDE_EVENT,
    ResponsePlace.AFTER_EVENT,
)

/** One letter for each place: complete (c), broken (b) or broken and final (f). */
private class Row(val framing: BodyFraming, val end: ByteEnd, val verdicts: String)

private val plainRows = listOf(
    Row(BodyFraming.NO_BODY, ByteEnd.ANNOUNCED, "bbcc"),
    Row(BodyFraming.NO_BODY, ByteEnd.CLOSE, "bbbb"),
    Row(BodyFraming.NO_BODY, ByteEnd.RESET, "bbbb"),
    Row(BodyFraming.LENGTH, ByteEnd.ANNOUNCED, "bbcc"),
    Row(BodyFraming.LENGTH, ByteEnd.CLOSE, "bbbb"),
    Row(BodyFraming.LENGTH, ByteEnd.RESET, "bbbb"),
    Row(BodyFraming.CHUNKS, ByteEnd.ANNOUNCED, "bbcc"),
    Row(BodyFraming.CHUNKS, ByteEnd.CLOSE, "bbbb"),
    Row(BodyFraming.CHUNKS, ByteEnd.RESET, "bbbb"),
    Row(BodyFraming.END_OF_CONNECTION, ByteEnd.ANNOUNCED, "bbbb"),
    Row(BodyFraming.END_OF_CONNECTION, ByteEnd.CLOSE, "bbcc"),
    Row(BodyFraming.END_OF_CONNECTION, ByteEnd.RESET, "bbbb"),
)

private val streamRows = listOf(
    Row(BodyFraming.NO_BODY, ByteEnd.ANNOUNCED, "bbccc"),
    Row(BodyFraming.NO_BODY, ByteEnd.CLOSE, "bbbbb"),
    Row(BodyFraming.NO_BODY, ByteEnd.RESET, "bbbbb"),
    Row(BodyFraming.LENGTH, ByteEnd.ANNOUNCED, "bbcbc"),
    Row(BodyFraming.LENGTH, ByteEnd.CLOSE, "bbbbb"),
    Row(BodyFraming.LENGTH, ByteEnd.RESET, "bbbbb"),
    Row(BodyFraming.CHUNKS, ByteEnd.ANNOUNCED, "bbcbc"),
    Row(BodyFraming.CHUNKS, ByteEnd.CLOSE, "bbbbb"),
    Row(BodyFraming.CHUNKS, ByteEnd.RESET, "bbbbb"),
    Row(BodyFraming.END_OF_CONNECTION, ByteEnd.ANNOUNCED, "bbbbb"),
    Row(BodyFraming.END_OF_CONNECTION, ByteEnd.CLOSE, "bbbbc"),
    Row(BodyFraming.END_OF_CONNECTION, ByteEnd.RESET, "bbbbb"),
)

/** As [streamRows], but an announced end without an event adds nothing to what the caller was sent. */
private val continuedRows = streamRows.map {
    val isExplicit = it.framing == BodyFraming.LENGTH || it.framing == BodyFraming.CHUNKS
    if (it.end == ByteEnd.ANNOUNCED && isExplicit) Row(it.framing, it.end, "bbfbc") else it
}

private fun verdictOf(letter: Char): ResponseVerdict = when (letter) {
    'c' -> ResponseVerdict.COMPLETE
    'b' -> ResponseVerdict.BROKEN
    'f' -> ResponseVerdict.BROKEN_FINAL
    else -> error("no verdict: $letter")
}

class ResponseEndTest :
    DescribeSpec({
        fun words(value: Enum<*>) = value.name.lowercase().replace('_', ' ')

        val tables = listOf(
            Triple(ResponseKind.PLAIN, plainPlaces, plainRows),
            Triple(ResponseKind.STREAM, streamPlaces, streamRows),
            Triple(ResponseKind.CONTINUED_STREAM, streamPlaces, continuedRows),
        )
        for ((kind, places, rows) in tables) {
            for (row in rows) {
                describe("a ${words(kind)} response, ${words(row.framing)}, whose bytes end with ${words(row.end)}") {
                    for ((index, place) in places.withIndex()) {
                        val expected = verdictOf(row.verdicts[index])
                        it("is ${words(expected)} ${words(place)}") {
                            ResponseEnd.verdictOf(kind, row.framing, place, row.end) shouldBe expected
                        }
                    }
                }
            }
        }
    })
