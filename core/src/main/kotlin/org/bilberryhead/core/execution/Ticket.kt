package org.bilberryhead.core.execution

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.message.AttemptLocation
import java.util.Base64

/** The error for a text that is not a valid ticket. */
data object MalformedTicket

/**
 * The text form of the location where a non-idempotent request runs. A caller may submit a request with a ticket any
 * number of times, through any entry; the ledger of the sidecar process that the ticket names lets it run at most once.
 */
object Ticket {
    private const val PREFIX = "bt1."
    private const val SEPARATOR = "\n"
    private const val FIELDS = 3
    private val encoder = Base64.getUrlEncoder().withoutPadding()
    private val decoder = Base64.getUrlDecoder()

    /** Whether [text] has the prefix of a ticket; it may still be malformed. */
    fun isTicket(text: String): Boolean = text.startsWith(PREFIX)

    /** Returns the ticket for [location]. */
    fun encode(location: AttemptLocation): String {
        val fields = listOf(location.endpoint.value, location.incarnation.value, location.attempt.value)
        return PREFIX + encoder.encodeToString(fields.joinToString(SEPARATOR).encodeToByteArray())
    }

    /** Returns the location that [text] encodes, or [MalformedTicket]. */
    fun decode(text: String): Result<AttemptLocation, MalformedTicket> {
        if (!isTicket(text)) return Err(MalformedTicket)
        val fields = try {
            decoder.decode(text.removePrefix(PREFIX)).decodeToString().split(SEPARATOR)
        } catch (_: IllegalArgumentException) {
            return Err(MalformedTicket)
        }
        if (fields.size != FIELDS || fields.any { it.isBlank() }) return Err(MalformedTicket)
        val (endpoint, incarnation, attempt) = fields
        return Ok(AttemptLocation(EndpointId(endpoint), Incarnation(incarnation), AttemptId(attempt)))
    }
}
