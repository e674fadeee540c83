package org.bilberryhead.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receive
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.post
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.pipeline.AdmittedRequest
import org.bilberryhead.core.pipeline.RequestOutcome
import java.util.UUID
import kotlin.time.Clock
import kotlin.time.Duration

/** Name of the header with the request's id. */
const val REQUEST_ID_HEADER = "X-Request-Id"

/** Name of the header with the time that the caller waits, such as `4s`. */
const val TIMEOUT_HEADER = "X-Request-Timeout"

/** A refusal in the form of RFC 9457. */
@Serializable
data class Problem(
    val title: String,
    val status: Int,
    val detail: String,
    val outcome: String,
    val reason: String,
    val requestId: String,
    val repeatable: Boolean,
)

/** The interface for callers. */
class CallerRoutes(
    private val control: ControlPlane,
    private val runner: RequestRunner,
    private val tokens: Tokens,
    private val clock: Clock,
) {
    /** Adds the routes. */
    fun install(route: Route) = with(route) {
        post("/v1/requests/{kind}") { serve() }
    }

    private suspend fun RoutingContext.serve() {
        val id = RequestId(UUID.randomUUID().toString())
        call.response.header(REQUEST_ID_HEADER, id.value)
        val account = tokens.account(call.request.headers[HttpHeaders.Authorization])
            ?: return reject(id, HttpStatusCode.Unauthorized, "unauthorized", "the bearer token is missing or unknown")
        val tables = control.tables
        val route = tables.routes[RequestKind(call.parameters["kind"].orEmpty())]
            ?: return reject(id, HttpStatusCode.NotFound, "unknown_kind", "no route answers this kind of request")
        val timeoutText = call.request.headers[TIMEOUT_HEADER]
        val timeout = if (timeoutText == null) route.defaultDeadline else Duration.parseOrNull(timeoutText)
        if (timeout == null || !timeout.isPositive() || timeout > route.maximumDeadline) {
            return reject(
                id,
                HttpStatusCode.BadRequest,
                "bad_deadline",
                "$TIMEOUT_HEADER must be up to ${route.maximumDeadline}",
            )
        }
        val request = AdmittedRequest(id, account, Payload(call.receive<ByteArray>()), clock.now() + timeout)
        when (val outcome = runner.run(request, route, tables) { }) {
            is RequestOutcome.Answered -> call.respondBytes(outcome.payload.bytes, ContentType.Application.Json)
            is RequestOutcome.NotRun -> refuse(
                id,
                "not_run",
                outcome.reason.name,
                repeatable = true,
                outcome.retryAfter,
            )
            is RequestOutcome.Unknown -> refuse(
                id,
                "unknown",
                outcome.reason.name,
                outcome.repeatable,
                outcome.retryAfter,
            )
        }
    }

    private suspend fun RoutingContext.reject(id: RequestId, status: HttpStatusCode, reason: String, detail: String) =
        respond(Problem(status.description, status.value, detail, "not_run", reason, id.value, repeatable = true))

    private suspend fun RoutingContext.refuse(
        id: RequestId,
        outcome: String,
        reason: String,
        repeatable: Boolean,
        retryAfter: Duration?,
    ) {
        if (retryAfter !=
            null
        ) {
            call.response.header(HttpHeaders.RetryAfter, retryAfter.inWholeSeconds.coerceAtLeast(1).toString())
        }
        val status = if (outcome == "not_run") HttpStatusCode.ServiceUnavailable else HttpStatusCode.GatewayTimeout
        respond(
            Problem(
                status.description,
                status.value,
                "the request was not answered",
                outcome,
                reason.lowercase(),
                id.value,
                repeatable,
            ),
        )
    }

    private suspend fun RoutingContext.respond(problem: Problem) = call.respondText(
        Json.encodeToString(problem),
        ContentType.Application.ProblemJson,
        HttpStatusCode.fromValue(problem.status),
    )
}
