package org.bilberryhead.core.membership

import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.VmId
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Tables

/** State of a VM in the platform's VM list. */
enum class ListedState { LIVE, LEAVING }

/** State of this process's own connection to a sidecar. */
enum class ConnectionState { NONE, SERVING, LEAVING }

/** Whether an endpoint may get new work, and if not, why. */
enum class Eligibility {
    ELIGIBLE,
    NOT_IN_POOL,
    VM_LEAVING,
    SIDECAR_LEAVING,
    NOT_CONNECTED,
}

/**
 * Decides which endpoints may get new work: those that belong to the pool, whose sidecar is connected and has not
 * announced that it leaves, and whose VM is not listed as leaving. Immutable.
 *
 * The VM list lags behind, so a VM missing from it is not treated as leaving: the connection to its sidecar is the
 * better evidence. A VM that is listed as leaving always leaves, because the platform never revokes that state.
 *
 * @param vmStates states of the VMs in the platform's VM list
 */
class Membership(tables: Tables = Tables(), private val vmStates: Map<VmId, ListedState> = emptyMap()) {
    private val poolNameByEndpoint: Map<EndpointId, PoolName> =
        tables.pools.values.flatMap { pool -> pool.endpoints.map { it.id to pool.name } }.toMap()
    private val endpointById: Map<EndpointId, Endpoint> =
        tables.pools.values.flatMap { it.endpoints }.associateBy { it.id }

    /** Returns whether [endpoint] may get new work as a member of [pool], given its [connection]. */
    fun eligibility(endpoint: EndpointId, pool: PoolName, connection: ConnectionState): Eligibility {
        if (poolNameByEndpoint[endpoint] != pool) return Eligibility.NOT_IN_POOL
        val vm = endpointById[endpoint]?.vm
        return when {
            connection == ConnectionState.NONE -> Eligibility.NOT_CONNECTED
            connection == ConnectionState.LEAVING -> Eligibility.SIDECAR_LEAVING
            vm != null && vmStates[vm] == ListedState.LEAVING -> Eligibility.VM_LEAVING
            else -> Eligibility.ELIGIBLE
        }
    }
}
