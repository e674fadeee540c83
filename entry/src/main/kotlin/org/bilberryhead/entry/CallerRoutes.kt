package org.bilberryhead.entry

import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.IdempotencyKey
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.execution.RequestIdGenerator
import org.bilberryhead.core.execution.Ticket
import org.bilberryhead.core.pipeline.AdmittedRequest
import org.bilberryhead.core.pipeline.RequestOutcome
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val log = KotlinLogging.logger("callers")

/** Name of the header with the request's id. */
const val REQUEST_ID_HEADER = "X-Request-Id"

/** Response with a ticket, which the caller sends as idempotency key. */
@Serializable
data class TicketResponse(val ticket: String)

/** Response with the outcome of a key. */
@Serializable
data class OutcomeResponse(val outcome: KeyOutcome)

/** HTTP routes for callers: requests, tickets and outcomes of keys. */
class CallerRoutes internal constructor(
    private val reader: CallerRequestReader,
    private val keys: KeyResolver,
    private val outcomes: OutcomeLookup,
    private val runner: RequestRunner,
    private val tracker: RequestTracker,
    private val metrics: EntryMetrics,
    private val clock: Clock,
    private val idGenerator: RequestIdGenerator,
) {
    /** Adds the routes. */
    fun install(route: Route) = with(route) {
        post("/v1/requests/{kind}") { whenAdmitted { serve(it) } }
        post("/v1/tickets/{kind}") { whenAdmitted { issueTicket(it) } }
        get("/v1/outcomes/{key}") { whenAdmitted { respondOutcome(it) } }
    }

    /** One HTTP call of a caller, from its arrival to its response. */
    private class Exchange(val call: ApplicationCall, val id: RequestId, val startedAt: Instant) {
        val hasKey: Boolean get() = call.request.headers.contains(KEY_HEADER)
        val acceptsEvents: Boolean
            get() {
                val accept = call.request.headers[HttpHeaders.Accept].orEmpty()
                return "application/json" !in accept || EVENT_STREAM in accept
            }
    }

    private suspend fun RoutingContext.whenAdmitted(serve: suspend (Exchange) -> Unit) {
        val exchange = Exchange(call, idGenerator.next(), clock.now())
        call.response.header(REQUEST_ID_HEADER, exchange.id.value)
        // Without this, a caller that reuses its connection would lose its next request when the process exits.
        if (tracker.isDraining) call.response.header(HttpHeaders.Connection, "close")
        if (!tracker.tryStart()) {
            reject(exchange, Rejection(RejectionReason.DRAINING, "this entry is shutting down", DEFAULT_RETRY_AFTER))
            return
        }
        try {
            serveOrReportError(exchange, serve)
        } finally {
            tracker.end()
        }
    }

    @Suppress("TooGenericExceptionCaught") // reported to the caller; must not affect other requests
    private suspend fun serveOrReportError(exchange: Exchange, serve: suspend (Exchange) -> Unit) {
        try {
            serve(exchange)
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (failure: Exception) {
            log.error(failure) { "callers: request ${exchange.id} failed with an internal error" }
            if (!exchange.call.response.isCommitted) refuse(exchange, internalError(exchange.id))
        }
    }

    private suspend fun issueTicket(exchange: Exchange) {
        val head = reader.readHead(exchange.call).getOrElse { return reject(exchange, it) }
        val location = keys.chooseLocation(head).getOrElse { return reject(exchange, it) }
        val response = Json.encodeToString(TicketResponse(Ticket.encode(location)))
        exchange.call.respondText(response, ContentType.Application.Json, HttpStatusCode.Created)
    }

    private suspend fun respondOutcome(exchange: Exchange) {
        val account = reader.account(exchange.call).getOrElse { return reject(exchange, it) }
        val key = IdempotencyKey(exchange.call.parameters["key"].orEmpty())
        if (!CallerRequestReader.isValidKey(key)) {
            return reject(exchange, Rejection(RejectionReason.BAD_KEY, "the key is not one"))
        }
        val response = Json.encodeToString(OutcomeResponse(outcomes.find(account, key)))
        exchange.call.respondText(response, ContentType.Application.Json)
    }

    private suspend fun serve(exchange: Exchange) {
        val head = reader.readHead(exchange.call).getOrElse { return reject(exchange, it) }
        val body = reader.readBody(exchange.call).getOrElse { return reject(exchange, it, head.route.kind) }
        val deadline = exchange.startedAt + head.timeout
        val location = head.key?.let { key ->
            keys.resolve(head, key, body).getOrElse { return reject(exchange, it, head.route.kind) }
        }
        val request = AdmittedRequest(exchange.id, head.account, body, deadline, location)
        val outcome = try {
            if (head.route.streamed && exchange.acceptsEvents) {
                stream(exchange, head, request)
            } else {
                respondComplete(exchange, head, request)
            }
        } catch (cancellation: CancellationException) {
            count(exchange, head.route.kind, RequestResult.CALLER_GONE)
            log.info { "callers: request ${exchange.id}: the caller disconnected" }
            throw cancellation
        }
        count(exchange, head.route.kind, resultOf(outcome, deadline))
        head.key?.let { keys.recordCompletion(head, it, outcome) }
    }

    private suspend fun respondComplete(
        exchange: Exchange,
        head: RequestHead,
        request: AdmittedRequest,
    ): RequestOutcome {
        val outcome = runner.run(request, head.route.copy(streamed = false), head.tables) { }
        if (outcome is RequestOutcome.Answered) {
            exchange.call.respondBytes(outcome.payload.bytes, ContentType.Application.Json)
        } else {
            refusalOf(exchange.id, outcome, request.ticket != null)?.let { refuse(exchange, it) }
        }
        return outcome
    }

    /** Sends headers only with the first part, so a refusal before it is sent as an ordinary problem response. */
    private suspend fun stream(exchange: Exchange, head: RequestHead, request: AdmittedRequest): RequestOutcome =
        coroutineScope {
            val parts = Channel<Payload>(Channel.UNLIMITED)
            val outcome = CompletableDeferred<RequestOutcome>()
            launch {
                outcome.complete(runner.run(request, head.route, head.tables) { parts.trySend(it.payload) })
                parts.close()
            }
            val first = parts.receiveCatching().getOrNull()
            val refusal = if (first == null) refusalOf(exchange.id, outcome.await(), request.ticket != null) else null
            if (refusal != null) {
                refuse(exchange, refusal)
            } else {
                val timeout = request.deadline - clock.now() + SLOW_READER_GRACE
                withTimeoutOrNull(timeout) { writeEvents(exchange, first, parts, outcome, request.ticket != null) }
                    ?: log.info { "callers: request ${exchange.id}: the caller reads too slowly, stream aborted" }
            }
            outcome.await()
        }

    private suspend fun writeEvents(
        exchange: Exchange,
        first: Payload?,
        parts: Channel<Payload>,
        outcome: CompletableDeferred<RequestOutcome>,
        hasKey: Boolean,
    ) {
        exchange.call.response.header(HttpHeaders.CacheControl, "no-store")
        exchange.call.respondBytesWriter(ContentType.Text.EventStream) {
            val events = EventStream(this)
            first?.let { events.writePart(it) }
            for (part in parts) events.writePart(part)
            val refusal = refusalOf(exchange.id, outcome.await(), hasKey)
            if (refusal == null) {
                events.writeEnd(exchange.id.value)
            } else {
                recordRefusal(exchange, refusal)
                events.writeError(refusal.problem)
            }
        }
    }

    /** Counts a request that was rejected before any part of it was dispatched, and refuses it. */
    private suspend fun reject(exchange: Exchange, rejection: Rejection, kind: RequestKind? = null) {
        val result = if (rejection.reason.status.value <
            FIRST_SERVER_ERROR
        ) {
            RequestResult.REJECTED
        } else {
            RequestResult.NOT_RUN
        }
        count(exchange, kind ?: NO_KIND, result)
        refuse(exchange, refusalOf(exchange.id, rejection, exchange.hasKey))
    }

    /** Logs and counts [refusal] and sends it as the response. */
    private suspend fun refuse(exchange: Exchange, refusal: Refusal) {
        recordRefusal(exchange, refusal)
        val problem = refusal.problem
        refusal.retryAfter?.let {
            exchange.call.response.header(HttpHeaders.RetryAfter, secondsRoundedUp(it).toString())
        }
        if (problem.status == HttpStatusCode.Unauthorized.value) {
            exchange.call.response.header(HttpHeaders.WWWAuthenticate, "Bearer")
        }
        val status = HttpStatusCode.fromValue(problem.status)
        exchange.call.respondText(problem.toJson(), ContentType.Application.ProblemJson, status)
    }

    private fun recordRefusal(exchange: Exchange, refusal: Refusal) {
        metrics.countRefusal(refusal.problem)
        val problem = refusal.problem
        log.info { "callers: request ${exchange.id} refused: ${problem.reason}, outcome ${problem.outcome}" }
    }

    private fun count(exchange: Exchange, kind: RequestKind, result: RequestResult) =
        metrics.countRequest(kind, result, clock.now() - exchange.startedAt)

    private fun resultOf(outcome: RequestOutcome, deadline: Instant): RequestResult = when (outcome) {
        is RequestOutcome.Answered -> if (clock.now() <= deadline) RequestResult.IN_TIME else RequestResult.LATE
        is RequestOutcome.NotRun -> RequestResult.NOT_RUN
        is RequestOutcome.Unknown -> RequestResult.UNKNOWN
    }

    private fun secondsRoundedUp(delay: Duration): Long = (delay + 999.milliseconds).inWholeSeconds.coerceAtLeast(1)

    private companion object {
        const val EVENT_STREAM = "text/event-stream"
        const val FIRST_SERVER_ERROR = 500

        /** Kind in the metrics for requests without a known kind. */
        val NO_KIND = RequestKind("none")

        /** Time after the deadline during which a streamed response is still written to a slow reader. */
        val SLOW_READER_GRACE = 5.seconds
    }
}
