package org.bilberryhead.core.pipeline

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.retry.RetryBudget
import org.bilberryhead.core.routing.LeastInFlightSelector
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Stage
import org.bilberryhead.core.tables.Tables
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val start = Instant.fromEpochSeconds(1_800_000_000)

private fun pool(name: String) = Pool(
    PoolName(name),
    listOf(Endpoint(EndpointId("$name-0"), DataCentre("nashua"), SocketAddress("127.0.0.1", 1))),
)

private fun executionWithTicket(): RequestExecution {
    val route = Route(
        RequestKind("order"),
        listOf(
            Stage(StageName("encode"), PoolName("encode")),
            Stage(StageName("record"), PoolName("orders"), idempotent = false),
        ),
    )
    val tables = Tables(
        routes = mapOf(route.kind to route),
        pools = listOf(pool("encode"), pool("orders")).associateBy { it.name },
    )
    val request = AdmittedRequest(
        id = RequestId("request"),
        clientAccount = ClientAccount("town"),
        payload = Payload.ofText("{}"),
        deadline = start + 4.seconds,
        ticket = AttemptLocation(EndpointId("orders-0"), Incarnation("run"), AttemptId("ticket")),
    )
    return RequestExecution(request, route, tables, LeastInFlightSelector({ emptyList() }, Random(1)), RetryBudget())
}

class TicketOutcomeTest :
    DescribeSpec({
        describe("a request with a ticket that ends before the ticket's sidecar was contacted") {
            it("ends as unknown, because an earlier submission may have run") {
                val actions = executionWithTicket().handle(RequestEvent.Started, start)

                val outcome = actions.filterIsInstance<RequestAction.Complete>().single().outcome
                (outcome is RequestOutcome.Unknown) shouldBe true
            }
        }
    })
