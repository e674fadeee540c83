package org.bilberryhead.load.policy

import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Objective
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Stage
import org.bilberryhead.core.tables.Tables
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A pool in an experiment.
 *
 * @property stage name of the stage that the pool serves
 * @property size number of endpoints
 * @property serviceTime mean service time of one call at speed 1
 */
data class PoolPlan(val stage: String, val name: String, val size: Int, val serviceTime: Duration)

/** A simulated deployment: one pipeline and its pools. */
enum class Deployment(
    val title: String,
    val pools: List<PoolPlan>,
    val dataCentres: List<DataCentre>,
    val objective: Objective,
) {
    GRANITE_HOLLOW(
        "Granite Hollow",
        listOf(
            PoolPlan("encode", "portal", size = 4, 60.milliseconds),
            PoolPlan("retrieve", "fleet", size = 4, 100.milliseconds),
            PoolPlan("rerank", "billing", size = 4, 160.milliseconds),
            PoolPlan("generate", "advisor", size = 13, 800.milliseconds),
        ),
        listOf("nashua", "worcester", "portland").map(::DataCentre),
        Objective.ATTAINMENT,
    ),
    VIJVERKRUID(
        "Vijverkruid",
        listOf(
            PoolPlan("encode", "helpers", size = 4, 60.milliseconds),
            PoolPlan("retrieve", "peilingen", size = 4, 120.milliseconds),
            PoolPlan("rerank", "schippers", size = 4, 200.milliseconds),
            PoolPlan("generate", "bilberry-llm", size = 8, 800.milliseconds),
        ),
        listOf("gent-zaal1", "gent-zaal2", "brugge-zaal").map(::DataCentre),
        Objective.COST,
    ),
    ;

    /** Share of the requests that each client account sends. */
    val accountShares: List<Double> = listOf(0.4, 0.3, 0.15, 0.1, 0.05)

    /** Returns the tables of the experiment, for a route with [objective]. */
    fun tables(objective: Objective): Tables {
        val stages = pools.map { Stage(StageName(it.stage), PoolName(it.name), hedged = true) }
        val route = Route(KIND, stages, defaultDeadline = DEADLINE, objective = objective)
        val tablePools = pools.map { plan -> Pool(PoolName(plan.name), endpoints(plan), CONCURRENCY) }
        return Tables(TableVersion(1), mapOf(KIND to route), tablePools.associateBy { it.name })
    }

    private fun endpoints(plan: PoolPlan): List<Endpoint> = List(plan.size) { index ->
        val dataCentre = dataCentres[index % dataCentres.size]
        Endpoint(EndpointId("${plan.name}-$index"), dataCentre, SocketAddress("127.0.0.1", 1))
    }

    companion object {
        /** The only kind of request. */
        val KIND = RequestKind("question")

        /** Deadline of every request. */
        val DEADLINE = 4.seconds

        /** Maximum concurrent calls of one endpoint. */
        const val CONCURRENCY = 4

        /** Returns the name of the account with [index]. */
        fun account(index: Int) = ClientAccount("account-$index")
    }
}
