package org.bilberryhead.soak

import kotlin.random.Random

/** How a response says where its body ends. */
internal enum class Framing { LENGTH, CHUNKS, END_OF_CONNECTION }

/** Where an endpoint breaks a response off. */
internal enum class BreakPoint { BEFORE_HEAD, INSIDE_HEAD, AFTER_HEAD, INSIDE_PART, BETWEEN_PARTS }

/** How an endpoint closes the connection of a response that it breaks off. */
internal enum class BreakKind { ORDERLY, RESET }

/**
 * What an endpoint sends for one response, drawn at random: a framing, and possibly a place where it ends early.
 *
 * @property pieces what is sent, one write after another
 * @property breakKind how the connection closes after the pieces; null when the response is complete
 * @property endsConnection whether the connection closes after the pieces
 */
internal class ResponsePlan private constructor(
    val pieces: List<String>,
    val breakKind: BreakKind?,
    val endsConnection: Boolean,
) {
    /** Returns the same response as one to HEAD. */
    fun headOnly() = ResponsePlan(pieces.take(1), breakKind, endsConnection)

    /**
     * Draws plans.
     *
     * @param head the head without the header of the framing and without the empty line at its end
     * @param parts parts of the body: the events of a stream, or the one part of another response
     */
    class Draw(private val head: String, private val parts: List<String>, private val isStream: Boolean) {
        /** Returns a plan for the whole response. */
        fun complete(random: Random): ResponsePlan {
            val framing = Framing.entries.random(random)
            val end = if (framing == Framing.CHUNKS) listOf(LAST_CHUNK) else emptyList()
            val pieces = listOf(headOf(framing)) + parts.map { framed(it, framing) } + end
            return ResponsePlan(pieces, breakKind = null, framing == Framing.END_OF_CONNECTION)
        }

        /** Returns a plan that ends early. */
        fun broken(random: Random): ResponsePlan {
            val framing = Framing.entries.random(random)
            val breakPoint = BreakPoint.entries.filter { isStream || it != BreakPoint.BETWEEN_PARTS }.random(random)
            val kind = if (isCutVisible(framing, breakPoint)) BreakKind.entries.random(random) else BreakKind.RESET
            return ResponsePlan(piecesUntil(breakPoint, framing, random), kind, endsConnection = true)
        }

        /** Whether a caller can tell an orderly close at [breakPoint] from the end of the response. */
        private fun isCutVisible(framing: Framing, breakPoint: BreakPoint): Boolean = when (breakPoint) {
            BreakPoint.BEFORE_HEAD, BreakPoint.INSIDE_HEAD -> true
            BreakPoint.AFTER_HEAD, BreakPoint.INSIDE_PART -> isStream || framing != Framing.END_OF_CONNECTION
            BreakPoint.BETWEEN_PARTS -> framing != Framing.END_OF_CONNECTION
        }

        private fun piecesUntil(breakPoint: BreakPoint, framing: Framing, random: Random): List<String> {
            val head = headOf(framing)
            val sentParts = random.nextInt(parts.size)
            val whole = parts.take(sentParts).map { framed(it, framing) }
            return when (breakPoint) {
                BreakPoint.BEFORE_HEAD -> emptyList()
                BreakPoint.INSIDE_HEAD -> listOf(head.take(random.nextInt(1, head.length)))
                BreakPoint.AFTER_HEAD -> listOf(head)
                BreakPoint.INSIDE_PART ->
                    listOf(head) + whole + framed(parts[sentParts].dropLast(TRUNCATED_CHARACTERS), framing)

                BreakPoint.BETWEEN_PARTS -> listOf(head) + whole.ifEmpty { listOf(framed(parts.first(), framing)) }
            }
        }

        private fun headOf(framing: Framing): String = when (framing) {
            Framing.LENGTH -> "${head}Content-Length: ${parts.sumOf { it.length }}\r\n\r\n"
            Framing.CHUNKS -> "${head}Transfer-Encoding: chunked\r\n\r\n"
            Framing.END_OF_CONNECTION -> "$head\r\n"
        }

        private fun framed(part: String, framing: Framing): String =
            if (framing == Framing.CHUNKS) "${part.length.toString(HEXADECIMAL_RADIX)}\r\n$part\r\n" else part
    }

    private companion object {
        const val LAST_CHUNK = "0\r\n\r\n"
        const val TRUNCATED_CHARACTERS = 4
        const val HEXADECIMAL_RADIX = 16
    }
}
