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

    /** RFC 9110 calls all other status codes invalid. The blank after the status code is often omitted. */
    private val STATUS_LINE = Regex("""HTTP/1\.[0-9] [1-5][0-9]{2}(?: $TEXT)?""")

    private val FIELD_NAME = Regex(TOKEN)
    private val FIELD_VALUE = Regex(TEXT)

    private val VISIBLE = ' '..'~'
    private const val MAXIMUM_QUOTED_LENGTH = 60

    /** Returns why [line] is not the first line of a response. */
    fun problemOfStatusLine(line: String): String? =
        if (STATUS_LINE.matches(line)) null else "the status line ${quote(line)} is invalid"

    /** Returns why [line] is not a field of a head or of trailers. */
    fun problemOfField(line: String): String? {
        val name = line.substringBefore(':')
        return when {
            name.length == line.length -> "the line ${quote(line)} of the head or trailers has no colon"
            !FIELD_NAME.matches(name) -> "the field name ${quote(name)} is invalid"
            !FIELD_VALUE.matches(line.substring(name.length + 1)) -> "the value of the field $name is invalid"
            else -> null
        }
    }

    /** Returns the beginning of [text] with invisible bytes made visible, for logs and error messages. */
    private fun quote(text: String): String {
        val visible = text.take(MAXIMUM_QUOTED_LENGTH).map { character ->
            if (character in VISIBLE) character.toString() else "\\x%02X".format(character.code)
        }
        return visible.joinToString("", prefix = "\"", postfix = if (text.length > visible.size) "...\"" else "\"")
    }
}
