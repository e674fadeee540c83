package org.bilberryhead.core.execution

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.message.AttemptLocation
import java.util.Base64

/** A text is not a ticket. */
data object NotATicket

/**
 * The text form of the place where a non-idempotent request runs. A caller submits a request under a ticket as often
 * as it likes, through any entry; the ledger of the named sidecar run lets it run at most once.
 */
object Ticket {
    private const val PREFIX = "bt1."
    private const val SEPARATOR = "\n"
    private const val FIELDS = 3
    private val encoder = Base64.getUrlEncoder().withoutPadding()
    private val decoder = Base64.getUrlDecoder()

    /** Whether [text] claims to be a ticket. */
    fun isTicket(text: String): Boolean = text.startsWith(PREFIX)

    /** Returns the ticket for [location]. */
    fun encode(location: AttemptLocation): String {
        val fields = listOf(location.endpoint.value, location.incarnation.value, location.attempt.value)
        return PREFIX + encoder.encodeToString(fields.joinToString(SEPARATOR).encodeToByteArray())
    }

    /** Returns the place that [text] names. */
    fun decode(text: String): Result<AttemptLocation, NotATicket> {
        if (!isTicket(text)) return Err(NotATicket)
        val fields = try {
            decoder.decode(text.removePrefix(PREFIX)).decodeToString().split(SEPARATOR)
        } catch (_: IllegalArgumentException) {
            return Err(NotATicket)
        }
        if (fields.size != FIELDS || fields.any { it.isBlank() }) return Err(NotATicket)
        val (endpoint, incarnation, attempt) = fields
        return Ok(AttemptLocation(EndpointId(endpoint), Incarnation(incarnation), AttemptId(attempt)))
    }
}
