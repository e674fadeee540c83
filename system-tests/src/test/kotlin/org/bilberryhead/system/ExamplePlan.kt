package org.bilberryhead.system

import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Stage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Kinds of requests that the system tests send. */
internal object Kind {
    const val PLAN = "plan-route"
    const val SUMMARY = "summarize-contract"
    const val ORDER = "record-refill-order"
    const val STATUS = "bin-status"
}

/** Stages that must take effect at most once for a request. */
internal val NON_IDEMPOTENT_STAGES = setOf("record")

/**
 * Returns the pipelines that the system tests use: a plan of two stages, a streamed summary, a non-idempotent order and
 * a lookup.
 */
internal fun exampleRoutes(deadline: Duration = 10.seconds): List<Route> = listOf(
    route(Kind.PLAN, deadline, stage("encode", "encoder"), stage("generate", "advisor")),
    route(Kind.SUMMARY, deadline, stage("generate", "advisor")).copy(streamed = true),
    route(Kind.ORDER, deadline, stage("record", "orders", idempotent = false)),
    route(Kind.STATUS, deadline, stage("lookup", "portal")),
)

/** Returns a plan with all example routes. */
internal fun examplePlan(
    orders: Int = 2,
    advisors: Int = 2,
    relayed: Boolean = false,
    serviceTime: String = "20ms",
    deadline: Duration = 10.seconds,
) = SystemPlan(
    routes = exampleRoutes(deadline),
    pools = mapOf("encoder" to 1, "advisor" to advisors, "orders" to orders, "portal" to 1),
    relayed = relayed,
    serviceTime = serviceTime,
    streamedStages = listOf("generate"),
)

/** Returns a plan with only the route and the pool of orders. */
internal fun ordersPlan(orders: Int = 2, relayed: Boolean = false, serviceTime: String = "20ms") = SystemPlan(
    routes = exampleRoutes().filter { it.kind.value == Kind.ORDER },
    pools = mapOf("orders" to orders),
    relayed = relayed,
    serviceTime = serviceTime,
)

private fun route(kind: String, deadline: Duration, vararg stages: Stage) =
    Route(RequestKind(kind), stages.toList(), defaultDeadline = deadline)

private fun stage(name: String, pool: String, idempotent: Boolean = true) =
    Stage(StageName(name), PoolName(pool), idempotent)
