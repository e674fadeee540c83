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

/** What the users of a route weigh more when both cannot be had. */
@Serializable
enum class Objective {
    /** Answers within the deadline come first, also at the price of extra work. */
    ATTAINMENT,

    /** Endpoint time per good answer comes first. */
    COST,
}

/**
 * One stage of a pipeline.
 *
 * @property name unique within the pipeline
 * @property pool the pool whose endpoints run the stage
 * @property idempotent whether the stage may run more than once for a request without harm
 * @property hedged whether a second attempt may start while the first is late; only for idempotent stages
 * @property share relative part of the deadline that the stage may use
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
 * One row of the routes table: the pipeline that answers a kind of request.
 *
 * @property stages run in order; the answer of each is the input of the next
 * @property defaultDeadline applies when the caller sends none
 * @property maximumDeadline a longer deadline is rejected
 * @property streamed whether the answer of the last stage is passed on while it is made
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
    /** Whether the whole pipeline may run more than once for a request without harm. */
    val idempotent: Boolean get() = stages.all { it.idempotent }
}

/**
 * An endpoint and the sidecar beside it.
 *
 * @property sidecar where the sidecar listens
 * @property vm the VM in the platform's VM list on which both run, if it is listed
 */
@Serializable
data class Endpoint(val id: EndpointId, val dataCentre: DataCentre, val sidecar: SocketAddress, val vm: VmId? = null)

/**
 * What a model engine should have loaded.
 *
 * @property model name and version of the model
 * @property adapters names of the adapters on top of it
 * @property role what the engine does, such as `prefill` or `decode`
 */
@Serializable
data class EngineConfiguration(val model: String, val adapters: List<String> = emptyList(), val role: String? = null)

/**
 * One row of the pools table: the endpoints that stand ready for a stage.
 *
 * @property concurrency number of calls that one endpoint works on at the same time
 * @property checksFencing whether the endpoints refuse an order with an old fencing number
 * @property engine what the engines of this pool should have loaded, if they take orders
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
 * Both tables at one version. Immutable.
 *
 * @property routes rows of the routes table by kind
 * @property pools rows of the pools table by name
 */
@Serializable
data class Tables(
    val version: TableVersion = TableVersion.NONE,
    val routes: Map<RequestKind, Route> = emptyMap(),
    val pools: Map<PoolName, Pool> = emptyMap(),
) {
    /** Returns the pool that [stage] runs on, or null when no such pool exists. */
    fun poolOf(stage: Stage): Pool? = pools[stage.pool]
}
