package org.bilberryhead.entry

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.routing.Candidate
import org.bilberryhead.core.routing.CandidateSource
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Tables
import java.util.concurrent.ConcurrentHashMap

/** Keeps one link to the sidecar of every endpoint in the tables. */
class SidecarDirectory(
    private val owner: LinkOwner,
    private val selectors: SelectorManager,
    private val scope: CoroutineScope,
) : CandidateSource,
    LinkSource {
    private val links = ConcurrentHashMap<EndpointId, SidecarLink>()

    /** All links, for status. */
    val all: Collection<SidecarLink> get() = links.values

    /** Opens links to endpoints that are new in [tables] and closes those of endpoints that are gone. */
    fun update(tables: Tables) {
        val wanted = tables.pools.values.flatMap { it.endpoints }.associateBy { it.id }
        links.values.filter { wanted[it.endpoint.id] != it.endpoint }.forEach { remove(it) }
        wanted.values.filter { !links.containsKey(it.id) }.forEach { add(it) }
    }

    override fun link(endpoint: EndpointId): SidecarLink? = links[endpoint]

    override fun candidates(pool: Pool): List<Candidate> = pool.endpoints.mapNotNull { endpoint ->
        links[endpoint.id]?.servingIncarnation?.let { Candidate(endpoint.id, it, endpoint.dataCentre) }
    }

    private fun add(endpoint: Endpoint) {
        val link = SidecarLink(endpoint, owner, selectors, scope)
        links[endpoint.id] = link
        link.start()
    }

    private fun remove(link: SidecarLink) {
        links.remove(link.endpoint.id)
        link.stop()
    }
}
