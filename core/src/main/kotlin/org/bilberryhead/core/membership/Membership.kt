package org.bilberryhead.core.membership

import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.VmId
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Tables

/** What the platform's VM list says of a VM. */
enum class ListedState { LIVE, LEAVING }

/** What this process sees on its own connection to a sidecar. */
enum class ConnectionState { NONE, SERVING, LEAVING }

/** Why an endpoint gets new work, or why not. */
enum class Eligibility {
    ELIGIBLE,
    NOT_IN_POOL,
    VM_LEAVING,
    SIDECAR_LEAVING,
    NOT_CONNECTED,
}

/**
 * Tells which endpoints may get new work: those that are in their pool, whose sidecar is connected and has not said
 * that it leaves, and whose VM is not listed as leaving. Immutable.
 *
 * The VM list lags, so a VM that it does not show says nothing: its sidecar's connection is the better evidence. A VM
 * that it shows as leaving does leave, since the platform does not take that back.
 */
class Membership(tables: Tables = Tables(), private val listed: Map<VmId, ListedState> = emptyMap()) {
    private val pools: Map<EndpointId, PoolName> =
        tables.pools.values.flatMap { pool -> pool.endpoints.map { it.id to pool.name } }.toMap()
    private val endpoints: Map<EndpointId, Endpoint> =
        tables.pools.values.flatMap { it.endpoints }.associateBy { it.id }

    /** Returns whether [endpoint] may get new work as a member of [pool], given its [connection]. */
    fun eligibility(endpoint: EndpointId, pool: PoolName, connection: ConnectionState): Eligibility {
        if (pools[endpoint] != pool) return Eligibility.NOT_IN_POOL
        val vm = endpoints[endpoint]?.vm
        return when {
            connection == ConnectionState.NONE -> Eligibility.NOT_CONNECTED
            connection == ConnectionState.LEAVING -> Eligibility.SIDECAR_LEAVING
            vm != null && listed[vm] == ListedState.LEAVING -> Eligibility.VM_LEAVING
            else -> Eligibility.ELIGIBLE
        }
    }
}
