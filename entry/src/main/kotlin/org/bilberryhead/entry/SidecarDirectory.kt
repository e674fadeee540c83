package org.bilberryhead.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.VmId
import org.bilberryhead.core.membership.ConnectionState
import org.bilberryhead.core.membership.Eligibility
import org.bilberryhead.core.membership.EndpointSubset
import org.bilberryhead.core.membership.ListedState
import org.bilberryhead.core.membership.Membership
import org.bilberryhead.core.routing.Candidate
import org.bilberryhead.core.routing.CandidateSource
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Tables
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

private val log = KotlinLogging.logger("membership")

/**
 * Keeps one link to the sidecar of every endpoint in this entry's subset. Updated by the control thread, read by
 * request threads. An endpoint outside the subset gets a link on demand, because a ticket that another entry issued may
 * name it; such a link is never a candidate for new work and is retired after [ON_DEMAND_IDLE_TIMEOUT] without use.
 */
class SidecarDirectory(
    private val owner: LinkOwner,
    private val selectorManager: SelectorManager,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val subset: EndpointSubset? = null,
) : CandidateSource,
    LinkSource {
    private val links = ConcurrentHashMap<EndpointId, SidecarLink>()
    private val onDemand = ConcurrentHashMap<EndpointId, OnDemandLink>()
    private val retired = ConcurrentHashMap.newKeySet<SidecarLink>()
    private var tables = Tables()
    private var vmStates = emptyMap<VmId, ListedState>()

    @Volatile
    private var membership = Membership()

    @Volatile
    private var endpointsInTables = emptyMap<EndpointId, Endpoint>()

    /** Links to the endpoints in the subset that this entry selects from. */
    val subsetLinks: Collection<SidecarLink> get() = links.values

    /** Number of open links of any kind. */
    val linkCount: Int get() = links.size + onDemand.size + retired.size

    /** Opens links to endpoints that enter the subset; retires links to those that leave it or whose row changes. */
    fun update(tables: Tables) {
        this.tables = tables
        membership = Membership(tables, vmStates)
        endpointsInTables = tables.pools.values.flatMap { it.endpoints }.associateBy { it.id }
        val selected = tables.pools.values.flatMap { subset?.choose(it) ?: it.endpoints }.associateBy { it.id }
        links.values.filter { selected[it.endpoint.id] != it.endpoint }.forEach { retire(it) }
        onDemand.values.map { it.link }.filter { isObsolete(it, selected) }.forEach { retireOnDemand(it) }
        selected.values.filter { !links.containsKey(it.id) }.forEach { add(it) }
    }

    /** Applies the VM states of the platform's VM list. */
    fun updateVmStates(vmStates: Map<VmId, ListedState>) {
        if (vmStates == this.vmStates) return
        this.vmStates = vmStates
        membership = Membership(tables, vmStates)
        log.info { "membership: VM list has ${vmStates.values.count { it == ListedState.LEAVING }} leaving VMs" }
    }

    /** Retires unused on-demand links; closes and returns the retired links that await no response. */
    fun closeIdle(): List<SidecarLink> {
        val unusedSince = clock.now() - ON_DEMAND_IDLE_TIMEOUT
        onDemand.values.filter { it.lastUsedAt < unusedSince }.forEach { retireOnDemand(it.link) }
        val idle = retired.filter { it.isIdle }
        retired.removeAll(idle.toSet())
        idle.forEach { it.stop() }
        return idle
    }

    /** Returns the link to [endpoint], or null if it has none. A retired link is returned until it is closed. */
    override fun link(endpoint: EndpointId): SidecarLink? =
        links[endpoint] ?: endpointsInTables[endpoint]?.let(::linkOnDemand)
            ?: retired.find { it.endpoint.id == endpoint }

    /** Returns whether [endpoint] may receive new work as a member of [pool], or the reason why not. */
    fun eligibility(endpoint: EndpointId, pool: PoolName): Eligibility =
        membership.eligibility(endpoint, pool, links[endpoint]?.connection ?: ConnectionState.NONE)

    override fun candidates(pool: Pool): List<Candidate> {
        val current = membership
        return pool.endpoints.mapNotNull { endpoint ->
            val link = links[endpoint.id] ?: return@mapNotNull null
            val incarnation = link.servingIncarnation ?: return@mapNotNull null
            val eligibility = current.eligibility(endpoint.id, pool.name, ConnectionState.SERVING)
            if (eligibility != Eligibility.ELIGIBLE) return@mapNotNull null
            Candidate(endpoint.id, incarnation, endpoint.dataCentre)
        }
    }

    private fun add(endpoint: Endpoint) {
        val link = newLink(endpoint)
        links[endpoint.id] = link
        link.start()
    }

    private fun linkOnDemand(endpoint: Endpoint): SidecarLink {
        val onDemandLink = onDemand.computeIfAbsent(endpoint.id) { OnDemandLink(newLink(endpoint).also { it.start() }) }
        onDemandLink.lastUsedAt = clock.now()
        return onDemandLink.link
    }

    private fun newLink(endpoint: Endpoint) = SidecarLink(endpoint, owner, selectorManager, scope, clock)

    /** Whether the on-demand [link] is replaced by a link of the subset, or its row was changed or removed. */
    private fun isObsolete(link: SidecarLink, selected: Map<EndpointId, Endpoint>): Boolean =
        link.endpoint.id in selected || endpointsInTables[link.endpoint.id] != link.endpoint

    private fun retireOnDemand(link: SidecarLink) {
        onDemand.remove(link.endpoint.id)
        retired.add(link)
    }

    private fun retire(link: SidecarLink) {
        links.remove(link.endpoint.id)
        retired.add(link)
        log.info { "membership: endpoint ${link.endpoint.id} gets no new work: it left the subset or its row changed" }
    }

    private inner class OnDemandLink(val link: SidecarLink) {
        @Volatile
        var lastUsedAt: Instant = clock.now()
    }

    private companion object {
        /** Time without use after which an on-demand link is retired. */
        val ON_DEMAND_IDLE_TIMEOUT = 1.minutes
    }
}
