package org.bilberryhead.forwarding.endpoint

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.serving.EndpointChange
import org.bilberryhead.core.serving.EndpointDirectory
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.core.serving.EndpointRests
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.ServingPool
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.platform.wire.StageCodec
import kotlin.math.max
import kotlin.time.Duration

/**
 * The registry of the known endpoints, each with its load and connections.
 *
 * @param pools the configuration of a pool, or null for an unknown pool
 * @param entryCount number of entries that share the connections that an endpoint accepts; null when this entry may
 *   open one only
 * @property cold which endpoints are cold, and what may be sent to them
 */
internal class Endpoints(
    private val thread: EventThread,
    private val connector: Connector,
    private val directory: EndpointDirectory,
    private val pools: (PoolName) -> ServingPool?,
    private val entryCount: () -> Int?,
    val cold: ColdEndpoints,
) {
    /** Which endpoints have asked for rest. */
    val rests = EndpointRests()
    private val endpointsById = mutableMapOf<EndpointId, Endpoint>()

    /** Called when an endpoint of a pool can start another exchange. */
    var onConnectionAvailable: (PoolName) -> Unit = {}

    /** Called with the head of each response of an endpoint. */
    var onHeadReceived: (EndpointEntry, ResponseHead) -> Unit = { _, _ -> }

    /** Returns the endpoints of [pool] that accept new work. */
    fun usable(pool: PoolName): List<Endpoint> = directory.usable(pool).map(::getOrCreate)

    /** Returns whether [endpoint] still accepts new work from this entry. */
    fun isUsable(endpoint: Endpoint): Boolean = obstacleTo(endpoint.entry) == null

    /**
     * Returns whether results at [endpoint] may be released. Releases would count as requests to a cold endpoint, which
     * drops the results itself after their retention.
     */
    fun mayRelease(endpoint: Endpoint): Boolean = isUsable(endpoint) && !cold.isCold(endpoint.entry)

    /** Returns why the run of an endpoint that [entry] is about accepts no new work from this entry now, or null. */
    fun obstacleTo(entry: EndpointEntry): String? {
        val current = directory.entry(entry.id)
        return when {
            current == null || current.isDraining || current.run != entry.run -> "the endpoint leaves"
            isResting(entry) -> "the endpoint rests"
            directory.isEvacuated(current) -> "its data centre is evacuated"
            !cold.maySend(entry) -> "the endpoint is cold"
            else -> null
        }
    }

    /** Returns whether the endpoint of [entry] has asked for rest and gets nothing now. */
    fun isResting(entry: EndpointEntry): Boolean = !rests.isEmpty && rests.isResting(entry.run, thread.now())

    /** Returns the time until the first endpoint of [pool] is back when all of them rest; null otherwise. */
    fun timeUntilFirstReturn(pool: PoolName): Duration? =
        if (rests.isEmpty) null else rests.timeUntilFirstReturn(directory.usable(pool).map { it.run }, thread.now())

    /** Returns how many exchanges may be in flight with the endpoint of [entry]: few while it returns from a rest. */
    fun maximumInFlight(entry: EndpointEntry): Int = rests.maximumInFlight(entry.run, entry.slots, thread.now())

    /** Returns whether another exchange with [endpoint] can start now. */
    fun canSend(endpoint: Endpoint): Boolean = endpoint.load.inFlight < maximumInFlight(endpoint.entry) &&
        cold.maySend(endpoint.entry) &&
        endpoint.connections.canAcquire()

    /**
     * Returns how many stage calls may be open at the endpoint of [entry]. At a cold one it is one at a time,
     * so that no call is prepared for a permit that another call takes.
     */
    fun maximumCalls(entry: EndpointEntry): Int = when {
        !cold.maySend(entry) -> 0
        cold.isCold(entry) -> minOf(1, maximumInFlight(entry))
        else -> maximumInFlight(entry)
    }

    /** Returns the endpoint of [entry]; creates it when it is new or its process was restarted. */
    fun getOrCreate(entry: EndpointEntry): Endpoint {
        val previous = endpointsById[entry.id]
        if (previous != null && previous.entry.startedAt == entry.startedAt) return previous
        previous?.connections?.close()
        return create(entry).also { endpointsById[entry.id] = it }
    }

    /** Returns the endpoint that listens on [address], or null. */
    fun byAddress(address: SocketAddress): Endpoint? = directory.entryAt(address)?.let(::getOrCreate)

    /** Returns the data centre that holds the result at [handle], or null when its endpoint is not known. */
    fun dataCentreOf(handle: ResultHandle): DataCentre? = endpointEntryOf(handle)?.dataCentre

    /** Returns the pool of the endpoint that holds the result at [handle], or null when the endpoint is not known. */
    fun poolOf(handle: ResultHandle): PoolName? = endpointEntryOf(handle)?.pool

    private fun endpointEntryOf(handle: ResultHandle): EndpointEntry? =
        StageCodec.endpointAddressOf(handle.value)?.let(directory::entryAt)

    /** Applies changes of the directory: closes the idle connections to removed endpoints. */
    fun applyChanges(changes: List<EndpointChange>) {
        for (change in changes) {
            if (change is EndpointChange.Gone) endpointsById.remove(change.id)?.connections?.close()
        }
    }

    /** Reduces the recorded slowdown of engines, so that slow engines are tried again. To be called periodically. */
    fun decaySlowdown() = endpointsById.values.forEach { it.engine?.decaySlowdown() }

    private fun create(entry: EndpointEntry): Endpoint {
        val connections = EndpointConnections(
            address = entry.address,
            connector = connector,
            thread = thread,
            maximumConnections = { connectionShare(entry.pool) },
            onAvailable = { onConnectionAvailable(entry.pool) },
            onHeadReceived = { onHeadReceived(entry, it) },
            mayProbe = { !isResting(entry) && !directory.isEvacuated(entry) },
        )
        return Endpoint(entry, pools(entry.pool), connections)
    }

    private fun connectionShare(pool: PoolName): Int {
        val maximum = pools(pool)?.maximumConnections ?: DEFAULT_MAXIMUM_CONNECTIONS
        return max(1, entryCount()?.let { maximum / it } ?: 1)
    }

    private companion object {
        const val DEFAULT_MAXIMUM_CONNECTIONS = 32
    }
}
