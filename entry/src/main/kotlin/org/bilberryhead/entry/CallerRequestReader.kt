package org.bilberryhead.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import io.ktor.http.BadContentTypeFormatException
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveChannel
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.IdempotencyKey
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Tables
import kotlin.time.Duration

/** Name of the header with the time that the caller waits for the response, such as `4s`. */
const val TIMEOUT_HEADER = "X-Request-Timeout"

/** Name of the header with a ticket or a key that the caller chose. */
const val KEY_HEADER = "Idempotency-Key"

/**
 * A caller's request whose headers have been checked.
 *
 * @property timeout time that the caller waits for the response
 * @property key null when there is none, or when the route is idempotent and needs none
 */
internal data class RequestHead(
    val account: ClientAccount,
    val route: Route,
    val tables: Tables,
    val timeout: Duration,
    val key: IdempotencyKey?,
)

/** Reads and validates callers' requests, and rejects those that cannot be served. */
internal class CallerRequestReader(
    private val tables: () -> Tables,
    private val tokens: Tokens,
    private val maximumBodyBytes: Long,
) {
    /** Returns the client account of the bearer token. */
    fun account(call: ApplicationCall): Result<ClientAccount, Rejection> {
        val account = tokens.account(call.request.headers[HttpHeaders.Authorization])
            ?: return rejected(RejectionReason.UNAUTHORIZED, "the bearer token is missing or unknown")
        return Ok(account)
    }

    /** Returns the validated request line and headers. */
    fun readHead(call: ApplicationCall): Result<RequestHead, Rejection> = binding {
        val account = account(call).bind()
        val current = readTables().bind()
        val route = findRoute(call, current).bind()
        val timeout = readTimeout(call, route).bind()
        val key = readKey(call).bind()
        RequestHead(account, route, current, timeout, key.takeUnless { route.idempotent })
    }

    /** Returns the body, checked to be well-formed JSON of at most [maximumBodyBytes] bytes. */
    suspend fun readBody(call: ApplicationCall): Result<Payload, Rejection> {
        if (!isJson(call)) {
            return rejected(RejectionReason.UNSUPPORTED_MEDIA_TYPE, "the body must be application/json")
        }
        val declaredBytes = call.request.headers[HttpHeaders.ContentLength]?.toLongOrNull() ?: 0
        if (declaredBytes > maximumBodyBytes) return tooLarge()
        val bytes = JsonBody.readUpTo(call.receiveChannel(), maximumBodyBytes) ?: return tooLarge()
        if (!JsonBody.isWellFormed(bytes)) {
            return rejected(RejectionReason.MALFORMED_BODY, "the body is not well-formed JSON in UTF-8")
        }
        return Ok(Payload(bytes))
    }

    private fun readTables(): Result<Tables, Rejection> {
        val current = tables()
        if (current.version != TableVersion.NONE) return Ok(current)
        return Err(Rejection(RejectionReason.NO_TABLES, "this entry has no tables yet", DEFAULT_RETRY_AFTER))
    }

    private fun findRoute(call: ApplicationCall, current: Tables): Result<Route, Rejection> {
        val route = current.routes[RequestKind(call.parameters["kind"].orEmpty())]
            ?: return rejected(RejectionReason.UNKNOWN_KIND, "no route answers this kind of request")
        return Ok(route)
    }

    private fun readTimeout(call: ApplicationCall, route: Route): Result<Duration, Rejection> {
        val text = call.request.headers[TIMEOUT_HEADER] ?: return Ok(route.defaultDeadline)
        val timeout = Duration.parseOrNull(text)
        if (timeout == null || !timeout.isPositive() || timeout > route.maximumDeadline) {
            val detail = "$TIMEOUT_HEADER must be a time such as 4s or 1500ms, up to ${route.maximumDeadline}"
            return rejected(RejectionReason.BAD_DEADLINE, detail)
        }
        return Ok(timeout)
    }

    private fun readKey(call: ApplicationCall): Result<IdempotencyKey?, Rejection> {
        val header = call.request.headers[KEY_HEADER] ?: return Ok(null)
        val key = IdempotencyKey(header.trim().removeSurrounding("\""))
        return if (isValidKey(key)) Ok(key) else rejected(RejectionReason.BAD_KEY, "$KEY_HEADER $KEY_RULE")
    }

    private fun isJson(call: ApplicationCall): Boolean {
        val header = call.request.headers[HttpHeaders.ContentType] ?: return true
        val type = try {
            ContentType.parse(header)
        } catch (_: BadContentTypeFormatException) {
            return false
        }
        return type.match(ContentType.Application.Json) || type.contentSubtype.endsWith("+json")
    }

    private fun tooLarge() = rejected(RejectionReason.BODY_TOO_LARGE, "the body is over $maximumBodyBytes bytes")

    companion object {
        private const val MAXIMUM_KEY_CHARACTERS = 512
        private const val KEY_RULE = "must be 1 to $MAXIMUM_KEY_CHARACTERS printable ASCII characters without spaces"

        /** Whether [key] is a valid idempotency key. */
        fun isValidKey(key: IdempotencyKey): Boolean =
            key.value.length in 1..MAXIMUM_KEY_CHARACTERS && key.value.all { it in '!'..'~' }

        private fun rejected(reason: RejectionReason, detail: String) = Err(Rejection(reason, detail))
    }
}
