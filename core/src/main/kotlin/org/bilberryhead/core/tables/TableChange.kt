package org.bilberryhead.core.tables

import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.TableVersion
import kotlin.time.Instant

/**
 * One accepted or proposed change of the tables.
 *
 * @property baseVersion the version that the change was made against; it applies to no other
 * @property author the operator, as named by the operator's token
 * @property madeAt when the change was proposed
 */
@Serializable
data class TableChange(
    val id: ChangeId,
    val baseVersion: TableVersion,
    val author: String,
    val madeAt: Instant,
    val summary: String = "",
    val putRoutes: List<Route> = emptyList(),
    val deleteRoutes: List<RequestKind> = emptyList(),
    val putPools: List<Pool> = emptyList(),
    val deletePools: List<PoolName> = emptyList(),
) {
    /** The version that the tables have once the change is applied. */
    val version: TableVersion get() = baseVersion.next()

    /** Whether the change modifies no row. */
    val isEmpty: Boolean
        get() = putRoutes.isEmpty() && deleteRoutes.isEmpty() && putPools.isEmpty() && deletePools.isEmpty()

    /**
     * Returns [tables] with this change applied.
     *
     * @throws IllegalStateException when [tables] are not at the base version of the change
     */
    fun applyTo(tables: Tables): Tables {
        check(tables.version == baseVersion) {
            "change ${id.value} applies to version $baseVersion, but the tables are at version ${tables.version}"
        }
        return Tables(
            version = version,
            routes = tables.routes - deleteRoutes.toSet() + putRoutes.associateBy { it.kind },
            pools = tables.pools - deletePools.toSet() + putPools.associateBy { it.name },
        )
    }

    companion object {
        /** Returns the change that replaces the rows of [from] by [routes] and [pools]. */
        @Suppress("LongParameterList") // the values come from different sources and belong to no common type
        fun between(
            from: Tables,
            routes: Map<RequestKind, Route>,
            pools: Map<PoolName, Pool>,
            id: ChangeId,
            author: String,
            madeAt: Instant,
            summary: String = "",
        ): TableChange = TableChange(
            id = id,
            baseVersion = from.version,
            author = author,
            madeAt = madeAt,
            summary = summary,
            putRoutes = routes.values.filter { from.routes[it.kind] != it },
            deleteRoutes = (from.routes.keys - routes.keys).toList(),
            putPools = pools.values.filter { from.pools[it.name] != it },
            deletePools = (from.pools.keys - pools.keys).toList(),
        )
    }
}
