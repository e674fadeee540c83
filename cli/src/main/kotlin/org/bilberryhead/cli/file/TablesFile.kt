package org.bilberryhead.cli.file

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.DurationTextSerializer
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.EngineConfiguration
import org.bilberryhead.core.tables.Objective
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Stage
import org.bilberryhead.core.tables.Tables
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Both tables in the format of a file: maps from row name to row. */
@Serializable
data class TablesFile(val routes: Map<String, RouteRow> = emptyMap(), val pools: Map<String, PoolRow> = emptyMap()) {
    /** Returns the rows of the routes table by kind. */
    fun toRoutes(): Map<RequestKind, Route> = routes.map { (kind, row) -> row.toRoute(RequestKind(kind)) }
        .associateBy { it.kind }

    /** Returns the rows of the pools table by name. */
    fun toPools(): Map<PoolName, Pool> = pools.map { (name, row) -> row.toPool(PoolName(name)) }
        .associateBy { it.name }

    companion object {
        /** Returns [tables] in the format of a file. */
        fun of(tables: Tables): TablesFile = TablesFile(
            routes = tables.routes.entries.associate { (kind, route) -> kind.value to RouteRow.of(route) },
            pools = tables.pools.entries.associate { (name, pool) -> name.value to PoolRow.of(pool) },
        )
    }
}

/** Names of the objectives in a file. */
@Serializable
enum class ObjectiveName(val objective: Objective) {
    @SerialName("attainment")
    ATTAINMENT(Objective.ATTAINMENT),

    @SerialName("cost")
    COST(Objective.COST),
}

/** One row of the routes table without its kind. */
@Serializable
data class RouteRow(
    val stages: List<Stage>,
    @Serializable(with = DurationTextSerializer::class) val defaultDeadline: Duration = 4.seconds,
    @Serializable(with = DurationTextSerializer::class) val maximumDeadline: Duration = 30.seconds,
    val objective: ObjectiveName = ObjectiveName.ATTAINMENT,
    val streamed: Boolean = false,
) {
    /** Returns the row for [kind]. */
    fun toRoute(kind: RequestKind): Route =
        Route(kind, stages, defaultDeadline, maximumDeadline, objective.objective, streamed)

    companion object {
        /** Returns the row for [route]. */
        fun of(route: Route): RouteRow = RouteRow(
            stages = route.stages,
            defaultDeadline = route.defaultDeadline,
            maximumDeadline = route.maximumDeadline,
            objective = ObjectiveName.entries.first { it.objective == route.objective },
            streamed = route.streamed,
        )
    }
}

/** One row of the pools table without its name. */
@Serializable
data class PoolRow(
    val endpoints: List<Endpoint>,
    val concurrency: Int = 4,
    val checksFencing: Boolean = false,
    val engine: EngineConfiguration? = null,
) {
    /** Returns the row for the pool [name]. */
    fun toPool(name: PoolName): Pool = Pool(name, endpoints, concurrency, checksFencing, engine)

    companion object {
        /** Returns the row for [pool]. */
        fun of(pool: Pool): PoolRow = PoolRow(pool.endpoints, pool.concurrency, pool.checksFencing, pool.engine)
    }
}
