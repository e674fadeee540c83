package org.bilberryhead.core.tables

import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress

/**
 * An error in the tables.
 *
 * @property path location of the error, such as `routes`, `plan`, `stages`, `1`, `pool`
 */
@Serializable
data class TableProblem(val path: List<String>, val problem: String) {
    override fun toString(): String = "${path.joinToString(".")}: $problem"
}

/** Validates the routes and pools tables. */
object TableValidator {
    /** Returns all errors in [routes] and [pools]; an empty list if the tables are valid. */
    fun check(routes: Collection<Route>, pools: Collection<Pool>): List<TableProblem> = buildList {
        routes.forEach { addAll(checkRoute(it, pools.associateBy { pool -> pool.name })) }
        pools.forEach { addAll(checkPool(it)) }
        addAll(checkDuplicateEndpoints(pools))
    }

    private fun checkRoute(route: Route, pools: Map<PoolName, Pool>): List<TableProblem> = buildList {
        val path = listOf("routes", route.kind.value)
        if (route.stages.isEmpty()) add(TableProblem(path + "stages", "the pipeline has no stage"))
        if (!route.defaultDeadline.isPositive()) add(TableProblem(path + "defaultDeadline", "must be positive"))
        if (route.defaultDeadline > route.maximumDeadline) {
            add(TableProblem(path + "defaultDeadline", "is longer than maximumDeadline"))
        }
        if (route.stages.count { !it.idempotent } > 1) {
            add(TableProblem(path + "stages", "more than one stage is not idempotent"))
        }
        val seenNames = mutableSetOf<String>()
        route.stages.forEachIndexed { index, stage ->
            val stagePath = path + listOf("stages", index.toString())
            if (!seenNames.add(
                    stage.name.value,
                )
            ) {
                add(TableProblem(stagePath + "name", "stage '${stage.name.value}' is repeated"))
            }
            addAll(checkStage(stage, stagePath, pools))
        }
    }

    private fun checkStage(stage: Stage, path: List<String>, pools: Map<PoolName, Pool>): List<TableProblem> =
        buildList {
            if (stage.pool !in pools) add(TableProblem(path + "pool", "no pool is named '${stage.pool}'"))
            if (stage.hedged && !stage.idempotent) {
                add(TableProblem(path + "hedged", "a stage that is not idempotent can not be hedged"))
            }
            if (stage.share <= 0) add(TableProblem(path + "share", "must be more than 0"))
        }

    private fun checkPool(pool: Pool): List<TableProblem> = buildList {
        val path = listOf("pools", pool.name.value)
        if (pool.endpoints.isEmpty()) add(TableProblem(path + "endpoints", "the pool has no endpoint"))
        if (pool.concurrency < 1) add(TableProblem(path + "concurrency", "is less than 1"))
    }

    private fun checkDuplicateEndpoints(pools: Collection<Pool>): List<TableProblem> = buildList {
        val seenIds = mutableMapOf<EndpointId, PoolName>()
        val seenAddresses = mutableMapOf<SocketAddress, EndpointId>()
        for (pool in pools) {
            pool.endpoints.forEachIndexed { index, endpoint ->
                val path = listOf("pools", pool.name.value, "endpoints", index.toString())
                val other = seenIds.put(endpoint.id, pool.name)
                if (other != null) add(TableProblem(path + "id", "endpoint '${endpoint.id}' is also in pool '$other'"))
                val otherId = seenAddresses.put(endpoint.sidecar, endpoint.id)
                if (otherId != null) add(TableProblem(path + "sidecar", "endpoint '$otherId' has the same address"))
            }
        }
    }
}
