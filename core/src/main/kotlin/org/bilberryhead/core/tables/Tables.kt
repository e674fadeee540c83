package org.bilberryhead.core.tables

import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.DurationTextSerializer
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.common.VmId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Goal that a route prefers when it cannot meet both. */
@Serializable
enum class Objective {
    /** Prefers responses within the deadline, even at the cost of extra work. */
    ATTAINMENT,

    /** Prefers a low endpoint time per response within the deadline. */
    COST,
}

/**
 * One stage of a pipeline.
 *
 * @property name unique within the pipeline
 * @property pool the pool whose endpoints run the stage
 * @property idempotent whether the stage may safely run more than once for a request
 * @property hedged whether a second attempt may start when the first is slow; only for idempotent stages
 * @property share weight of the stage when the deadline is divided among the stages
 */
@Serializable
data class Stage(
    val name: StageName,
    val pool: PoolName,
    val idempotent: Boolean = true,
    val hedged: Boolean = false,
    val share: Double = 1.0,
)

/**
 * One row of the routes table: the pipeline that processes a kind of request.
 *
 * @property stages run in order; the response of each is the input of the next
 * @property defaultDeadline timeout of a request whose caller sends none
 * @property maximumDeadline maximum timeout that a caller may send; a request with a longer one is rejected
 * @property streamed whether the response of the last stage is forwarded while it is being produced
 */
@Serializable
data class Route(
    val kind: RequestKind,
    val stages: List<Stage>,
    @Serializable(with = DurationTextSerializer::class) val defaultDeadline: Duration = 4.seconds,
    @Serializable(with = DurationTextSerializer::class) val maximumDeadline: Duration = 30.seconds,
    val objective: Objective = Objective.ATTAINMENT,
    val streamed: Boolean = false,
) {
    /** Whether every stage of the pipeline is idempotent. */
    val idempotent: Boolean get() = stages.all { it.idempotent }
}

/**
 * An endpoint and its sidecar.
 *
 * @property sidecar address on which the sidecar listens
 * @property vm the VM on which both run, as named in the platform's VM list; null if it is not listed
 */
@Serializable
data class Endpoint(val id: EndpointId, val dataCentre: DataCentre, val sidecar: SocketAddress, val vm: VmId? = null)

/**
 * What a model engine should have loaded.
 *
 * @property model name and version of the model
 * @property adapters names of the adapters to load on top of the model
 * @property role role of the engine, such as `prefill` or `decode`; null for any
 */
@Serializable
data class EngineConfiguration(val model: String, val adapters: List<String> = emptyList(), val role: String? = null)

/**
 * One row of the pools table: a group of endpoints that run the same stages.
 *
 * @property concurrency number of calls that one endpoint processes at the same time
 * @property checksFencing whether the endpoints refuse an order with an old fencing number
 * @property engine what the engines of this pool should have loaded; null if they get no orders
 */
@Serializable
data class Pool(
    val name: PoolName,
    val endpoints: List<Endpoint>,
    val concurrency: Int = 4,
    val checksFencing: Boolean = false,
    val engine: EngineConfiguration? = null,
)

/**
 * The routes and pools tables at one version. Immutable.
 *
 * @property routes rows of the routes table, by kind of request
 * @property pools rows of the pools table, by name
 */
@Serializable
data class Tables(
    val version: TableVersion = TableVersion.NONE,
    val routes: Map<RequestKind, Route> = emptyMap(),
    val pools: Map<PoolName, Pool> = emptyMap(),
) {
    /** Returns the pool that runs [stage], or null if it does not exist. */
    fun poolOf(stage: Stage): Pool? = pools[stage.pool]
}
