package org.bilberryhead.entry

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.client.HttpClient
import io.ktor.client.engine.okhttp.OkHttp
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import org.bilberryhead.core.admission.AdmissionControl
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.execution.RequestIdGenerator
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.AttemptOutcome
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Frame
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.OutcomeReport
import org.bilberryhead.core.pipeline.RequestEvent
import org.bilberryhead.core.retry.RetryBudget
import org.bilberryhead.core.routing.Candidate
import org.bilberryhead.core.routing.PolicySelector
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Stage
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.daemon.httpServer
import org.bilberryhead.daemon.newMeterRegistry
import org.bilberryhead.platform.Claim
import org.bilberryhead.platform.ClaimKey
import org.bilberryhead.platform.ClaimOutcome
import org.bilberryhead.platform.ClaimStore
import org.bilberryhead.protocol.MessageCodec
import java.util.UUID
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration

/**
 * Loads and compiles the code that requests use, so that the first real requests are not late. Sends requests to a
 * second instance of the callers' interface on loopback, which has its own tables and metrics and contacts no sidecar,
 * endpoint or platform service.
 */
internal class WarmUp(private val clock: Clock) {
    private val token = UUID.randomUUID().toString()
    private val endpoint = Endpoint(EndpointId(NAME), DataCentre(NAME), SocketAddress("127.0.0.1", 1))
    private val pool = Pool(PoolName(NAME), listOf(endpoint))
    private val tables = Tables(
        version = TableVersion(1),
        routes = listOf(route("whole"), route("streamed", streamed = true), route("ticket", idempotent = false))
            .associateBy { it.kind },
        pools = mapOf(pool.name to pool),
    )

    /** Sends the requests and returns the number of successful responses. */
    suspend fun run(): Int = coroutineScope {
        val callers = callers(this)
        val server = httpServer(SocketAddress("127.0.0.1", 0)) {
            install(HttpRequestLifecycle) { cancelCallOnClose = true }
            routing { callers.install(this) }
        }
        server.start()
        try {
            sendAll("http://127.0.0.1:${server.engine.resolvedConnectors().first().port}")
        } finally {
            server.stop(0, STOP_TIMEOUT_MILLIS)
        }
    }

    private suspend fun sendAll(url: String): Int = HttpClient(OkHttp).use { client ->
        (0 until ROUNDS).sumOf { round ->
            val successes = listOf(
                client.send("$url/v1/requests/whole"),
                client.send("$url/v1/requests/streamed"),
                client.send("$url/v1/tickets/ticket"),
                client.send("$url/v1/requests/ticket", key = "key-$round"),
            )
            successes.count { it }
        }
    }

    private suspend fun HttpClient.send(url: String, key: String? = null): Boolean {
        val response = post(url) {
            bearerAuth(token)
            contentType(ContentType.Application.Json)
            key?.let { header(KEY_HEADER, it) }
            setBody(BODY)
        }
        response.bodyAsText()
        return response.status.isSuccess()
    }

    private fun callers(scope: CoroutineScope): CallerRoutes {
        val selector = PolicySelector({ listOf(candidate()) }, endpoint.dataCentre, Random.Default)
        val metrics = EntryMetrics(newMeterRegistry())
        return CallerRoutes(
            reader = CallerRequestReader({ tables }, Tokens({ warmUpAccount(it) }, { null }), BODY.length.toLong()),
            keys = KeyResolver(selector, DiscardingClaimStore, clock, scope, RequestIdGenerator("$NAME-tickets")),
            outcomes = OutcomeLookup(RespondingLinks, DiscardingClaimStore),
            runner = RequestRunner(
                links = RespondingLinks,
                selector = selector,
                clock = clock,
                budget = RetryBudget(),
                metrics = metrics,
                admission = AdmissionControl.Predictive(selector),
                log = KotlinLogging.logger(NAME),
            ),
            tracker = RequestTracker(),
            metrics = metrics,
            clock = clock,
            idGenerator = RequestIdGenerator(NAME),
        )
    }

    private fun warmUpAccount(digest: TokenDigest) = ClientAccount(NAME).takeIf { digest == TokenDigest.ofToken(token) }

    private fun candidate() = Candidate(endpoint.id, Incarnation(NAME), endpoint.dataCentre)

    private fun route(kind: String, streamed: Boolean = false, idempotent: Boolean = true): Route {
        val stages = listOf("first", "last").map { Stage(StageName(it), pool.name) }
        val last = stages.last().copy(idempotent = idempotent)
        return Route(RequestKind(kind), if (idempotent) stages else listOf(last), streamed = streamed)
    }

    /** Responds to each dispatch immediately, after passing both messages through the codec. */
    private object RespondingLinks : LinkSource, AttemptLink {
        override fun link(endpoint: EndpointId): AttemptLink = this

        override fun send(incarnation: Incarnation, message: AttemptMessage, subscriber: AttemptSubscriber) {
            val dispatch = encodeAndDecode(message) as? Dispatch ?: return
            val response = encodeAndDecode(Frame(dispatch.attempt, 0, dispatch.payload, last = true))
            subscriber.deliver(RequestEvent.MessageArrived(response as AttemptMessage))
        }

        override fun unsubscribe(attempt: AttemptId, subscriber: AttemptSubscriber) = Unit

        override suspend fun awaitFirstConnection(timeout: Duration) = Unit

        override suspend fun queryOutcome(location: AttemptLocation, timeout: Duration) =
            OutcomeReport(location.attempt, AttemptOutcome.NEVER_SEEN)

        private fun encodeAndDecode(message: Message): Message =
            MessageCodec.decode(MessageCodec.encode(message)).getOrElse { error("codec: $it") }
    }

    /** Accepts each claim without storing it. */
    private object DiscardingClaimStore : ClaimStore {
        override suspend fun claim(key: ClaimKey, proposal: Claim) = Ok(proposal)

        override suspend fun find(key: ClaimKey) = Ok(null)

        override suspend fun recordOutcome(key: ClaimKey, outcome: ClaimOutcome) = Ok(Unit)
    }

    private companion object {
        const val NAME = "warm-up"
        const val BODY = """{"question":"which yard first?","bins":[7,8]}"""
        const val ROUNDS = 8
        const val STOP_TIMEOUT_MILLIS = 500L
    }
}
