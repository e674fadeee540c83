package org.bilberryhead.core.serving

/**
 * The grammar of the lines of HTTP/1.1 responses (RFC 9112), which tells a response from other bytes.
 *
 * A line is passed without its line break and with one character for each byte. The functions `problemOf...` return why
 * it is invalid, or null when it is valid. Folded fields, which RFC 9112 lets a gateway reject, are invalid.
 */
object ResponseGrammar {
    private const val TOKEN = """[!#$%&'*+.^_`|~0-9A-Za-z-]+"""
    private const val TEXT = """[\t\x20-\x7E\x80-\xFF]*"""
    private const val BLANKS = """[ \t]*"""
    private const val QUOTED = """"(?:[\t\x20\x21\x23-\x5B\x5D-\x7E\x80-\xFF]|\\[\t\x20-\x7E\x80-\xFF])*+""""

    /** A status outside 100 to 599 is invalid. The blank after it is due, but often omitted where no reason follows. */
    private val STATUS_LINE = Regex("""HTTP/1\.[0-9] [1-5][0-9]{2}(?: $TEXT)?""")

    /** Possessive quantifiers keep the match of a long line from using the stack. */
    private val CHUNK_LINE = Regex("""[0-9A-Fa-f]+(?:$BLANKS;$BLANKS$TOKEN(?:$BLANKS=$BLANKS(?:$TOKEN|$QUOTED))?+)*+""")

    private const val BYTE_VALUES = 256

    /** Whether a byte may be part of a token, by its value. */
    private val TOKEN_CHARACTERS = BooleanArray(BYTE_VALUES) { Regex(TOKEN).matches(it.toChar().toString()) }
    private val VISIBLE = ' '..'~'
    private const val FIRST_OPAQUE_BYTE = '\u0080'
    private const val MAXIMUM_QUOTED_LENGTH = 60
    private const val HEXADECIMAL_RADIX = 16

    /** A longer chunk, of 256 MiB or more, is larger than any body that is accepted. */
    private const val MAXIMUM_CHUNK_DIGITS = 7

    /** Returns why [line] is not the first line of a response. */
    fun problemOfStatusLine(line: String): String? =
        if (STATUS_LINE.matches(line)) null else "the status line ${quote(line)} is invalid"

    /** Returns why [line] is not a field of a head or of trailers. */
    fun problemOfField(line: String): String? {
        val name = line.substringBefore(':')
        return when {
            name.length == line.length -> "a line of the head or trailers has no colon"
            !isToken(name) -> "the field name ${quote(name)} is invalid"
            !isText(line, name.length + 1) -> "the value of the field $name is invalid"
            else -> null
        }
    }

    private fun isToken(text: String) = text.isNotEmpty() && text.all { TOKEN_CHARACTERS[it.code] }

    private fun isText(line: String, start: Int): Boolean {
        for (index in start..line.lastIndex) {
            val character = line[index]
            if (character !in VISIBLE && character != '\t' && character < FIRST_OPAQUE_BYTE) return false
        }
        return true
    }

    /** Returns why [line] does not state the length of a chunk. */
    fun problemOfChunkLine(line: String): String? = when {
        !isPlainLength(line) && !CHUNK_LINE.matches(line) -> "the chunk line ${quote(line)} is invalid"
        digitsOfChunkLine(line).length > MAXIMUM_CHUNK_DIGITS -> "the chunk length ${quote(line)} is too large"
        else -> null
    }

    /** Returns whether [line] is a chunk length without extensions, as most are. */
    private fun isPlainLength(line: String) = line.isNotEmpty() && line.all { isDigit(it) }

    private fun isDigit(character: Char) = character in '0'..'9' || character in 'a'..'f' || character in 'A'..'F'

    /** Returns the length in bytes of the chunk that follows [line], which must be valid; 0 for the last chunk. */
    fun chunkLengthOf(line: String): Long = digitsOfChunkLine(line).ifEmpty { "0" }.toLong(HEXADECIMAL_RADIX)

    /** Returns the significant digits of the chunk length that [line] begins with. */
    private fun digitsOfChunkLine(line: String): String = line.takeWhile(::isDigit).trimStart('0')

    /** Returns the beginning of [text] with invisible bytes made visible, for logs and error messages. */
    private fun quote(text: String): String {
        val visible = text.take(MAXIMUM_QUOTED_LENGTH).map { character ->
            if (character in VISIBLE) character.toString() else "\\x%02X".format(character.code)
        }
        return visible.joinToString("", prefix = "\"", postfix = if (text.length > visible.size) "...\"" else "\"")
    }
}
