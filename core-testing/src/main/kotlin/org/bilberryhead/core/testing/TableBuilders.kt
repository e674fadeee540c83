package org.bilberryhead.core.testing

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Stage
import org.bilberryhead.core.tables.Tables

private const val FIRST_PORT = 20_000

/** Returns a stage; its pool has the same name unless [pool] is given. */
fun testStage(
    name: String = "generate",
    pool: String = name,
    idempotent: Boolean = true,
    hedged: Boolean = false,
): Stage = Stage(StageName(name), PoolName(pool), idempotent, hedged)

/** Returns a route with [stages]. */
fun testRoute(kind: String = "plan", stages: List<Stage> = listOf(testStage()), streamed: Boolean = false): Route =
    Route(RequestKind(kind), stages, streamed = streamed)

/** Returns a pool with [size] endpoints in one data centre, on consecutive ports. */
fun testPool(name: String = "generate", size: Int = 2, concurrency: Int = 4): Pool =
    Pool(PoolName(name), List(size) { testEndpoint("$name-$it", port = FIRST_PORT + it) }, concurrency)

/** Returns an endpoint whose sidecar listens on [port] of the loopback address. */
fun testEndpoint(id: String = "generate-0", dataCentre: String = "nashua", port: Int = FIRST_PORT): Endpoint =
    Endpoint(EndpointId(id), DataCentre(dataCentre), SocketAddress("127.0.0.1", port))

/** Returns tables with [routes] and [pools]. */
fun testTables(
    version: Long = 1,
    routes: List<Route> = listOf(testRoute()),
    pools: List<Pool> = listOf(testPool()),
): Tables = Tables(TableVersion(version), routes.associateBy { it.kind }, pools.associateBy { it.name })
