package org.bilberryhead.entry

import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.statement.HttpResponse
import io.ktor.http.HttpMethod
import io.ktor.server.application.Application
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.routing.routing
import io.ktor.server.testing.testApplication
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.execution.RequestIdGenerator
import org.bilberryhead.core.retry.RetryBudget
import org.bilberryhead.core.routing.Candidate
import org.bilberryhead.core.routing.LeastInFlightSelector
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.core.testing.testPool
import org.bilberryhead.core.testing.testRoute
import org.bilberryhead.core.testing.testStage
import org.bilberryhead.core.testing.testTables
import java.security.MessageDigest
import kotlin.random.Random
import kotlin.time.Clock

const val TEST_TOKEN = "route-owner-token"
val TEST_ACCOUNT = ClientAccount("granite")
val TEST_INCARNATION = Incarnation("run-1")
const val MAXIMUM_TEST_BODY_BYTES = 1_000L

/** The callers' interface of an entry, with fakes in place of its sidecars and of the table service. */
internal class CallerInterface(
    val links: FakeLinks = FakeLinks(),
    var tables: Tables = callerTables(),
    clock: Clock = TestClock(),
) {
    val claims = FakeClaimStore()
    val tracker = RequestTracker()
    val registry = SimpleMeterRegistry()
    private val selector = LeastInFlightSelector(
        source = { pool -> pool.endpoints.map { Candidate(it.id, TEST_INCARNATION, it.dataCentre) } },
        random = Random(1),
    )
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Unconfined)
    private val metrics = EntryMetrics(registry)
    private val tokens = Tokens(listOf(AccountToken(TEST_ACCOUNT, digest(TEST_TOKEN))), emptyList())
    private val routes = CallerRoutes(
        reader = CallerRequestReader({ tables }, tokens, MAXIMUM_TEST_BODY_BYTES),
        keys = KeyResolver(selector, claims, clock, scope, RequestIdGenerator("tickets")),
        outcomes = OutcomeLookup(links, claims),
        runner = RequestRunner(links, selector, clock, RetryBudget(), metrics),
        tracker = tracker,
        metrics = metrics,
        clock = clock,
        idGenerator = RequestIdGenerator("entry"),
    )

    fun install(application: Application) = with(application) {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing { routes.install(this) }
    }

    /** Sends one request with a valid token through Ktor's test host and passes the response to [check]. */
    fun exchange(
        path: String = "/v1/requests/plan",
        method: HttpMethod = HttpMethod.Post,
        configure: HttpRequestBuilder.() -> Unit = {},
        check: suspend (HttpResponse) -> Unit,
    ) = testApplication {
        application { install(this) }
        val response = client.request(path) {
            this.method = method
            header("Authorization", "Bearer $TEST_TOKEN")
            configure()
        }
        check(response)
    }
}

/** Tables with an idempotent route, a streamed one and one that records a refill order. */
internal fun callerTables(): Tables = testTables(
    routes = listOf(
        testRoute("plan", listOf(testStage("generate"))),
        testRoute("advice", listOf(testStage("generate")), streamed = true),
        testRoute("refill", listOf(testStage("record", idempotent = false))),
    ),
    pools = listOf(testPool("generate"), testPool("record")),
)

internal fun digest(token: String): String =
    MessageDigest.getInstance("SHA-256").digest(token.encodeToByteArray()).toHexString()
