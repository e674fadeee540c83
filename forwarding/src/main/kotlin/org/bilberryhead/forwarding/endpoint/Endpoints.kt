package org.bilberryhead.forwarding.endpoint

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.serving.EndpointChange
import org.bilberryhead.core.serving.EndpointDirectory
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.ServingPool
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.platform.wire.StageCodec
import kotlin.math.max

/** The endpoints that are known, each with its load and connections. */
internal class Endpoints(
    private val thread: EventThread,
    private val connector: Connector,
    private val directory: EndpointDirectory,
    private val pools: (PoolName) -> ServingPool?,
    private val entryCount: () -> Int,
) {
    private val known = mutableMapOf<EndpointId, Endpoint>()

    /** Called when an endpoint of a pool can take another exchange. */
    var onConnectionAvailable: (PoolName) -> Unit = {}

    /** Endpoints of [pool] that may get new work. */
    fun usable(pool: PoolName): List<Endpoint> = directory.usable(pool).map(::getOrCreate)

    /** Whether [endpoint] may still get new work. */
    fun isUsable(endpoint: Endpoint): Boolean =
        directory.entry(endpoint.entry.id)?.let { !it.isDraining && it.startedAt == endpoint.entry.startedAt } ?: false

    /** The endpoint of [entry]. */
    fun getOrCreate(entry: EndpointEntry): Endpoint {
        val before = known[entry.id]
        if (before != null && before.entry.startedAt == entry.startedAt) return before
        before?.connections?.close()
        return create(entry).also { known[entry.id] = it }
    }

    /** The endpoint that listens on [address], or null. */
    fun byAddress(address: SocketAddress): Endpoint? = directory.entryAt(address)?.let(::getOrCreate)

    /** Where the result at [handle] lies, or null when its maker is not known. */
    fun dataCentreOf(handle: ResultHandle): DataCentre? = makerOf(handle)?.dataCentre

    /** The pool whose endpoint made the result at [handle], or null when its maker is not known. */
    fun poolOf(handle: ResultHandle): PoolName? = makerOf(handle)?.pool

    private fun makerOf(handle: ResultHandle): EndpointEntry? =
        StageCodec.endpointAddressOf(handle.value)?.let(directory::entryAt)

    /** Takes changes of the directory. */
    fun applyChanges(changes: List<EndpointChange>) {
        for (change in changes) {
            if (change is EndpointChange.Gone) known.remove(change.id)?.connections?.close()
        }
    }

    /** Lets the memory of slowness fade. */
    fun decaySlowness() = known.values.forEach { it.engine?.decaySlowdown() }

    private fun create(entry: EndpointEntry): Endpoint {
        val connections = EndpointConnections(
            address = entry.address,
            connector = connector,
            thread = thread,
            limit = { connectionShare(entry.pool) },
            onAvailable = { onConnectionAvailable(entry.pool) },
        )
        return Endpoint(entry, pools(entry.pool), connections)
    }

    private fun connectionShare(pool: PoolName): Int =
        max(1, (pools(pool)?.maximumConnections ?: DEFAULT_CONNECTIONS) / entryCount())

    private companion object {
        const val DEFAULT_CONNECTIONS = 32
    }
}
