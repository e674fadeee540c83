package org.bilberryhead.forwarding.stage

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.memory.MemoryBudget
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.Timer
import org.bilberryhead.forwarding.endpoint.Endpoint
import org.bilberryhead.forwarding.http.ExchangeOutcome
import org.bilberryhead.forwarding.http.OutboundConnection
import org.bilberryhead.forwarding.http.OutboundExchange
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.forwarding.http.ResponseCollector
import org.bilberryhead.platform.wire.StageCodec
import org.bilberryhead.platform.wire.WireHeaders
import org.bilberryhead.platform.wire.WirePaths
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reports results that are no longer needed to their endpoints, in batches. A failed call is not repeated; the endpoint
 * drops the results itself when their retention time is over.
 *
 * @param endpointByAddress the endpoint that listens on an address, or null
 * @param isUsable whether an endpoint accepts calls
 */
internal class ResultReleaser(
    private val thread: EventThread,
    private val memory: MemoryBudget,
    private val endpointByAddress: (SocketAddress) -> Endpoint?,
    private val isUsable: (Endpoint) -> Boolean,
) {
    private class Release(val handle: ResultHandle, val onReleased: (ResultHandle) -> Unit)

    private val pendingReleases = mutableMapOf<SocketAddress, MutableList<Release>>()

    /** Releases the results at [handles]; [onReleased] is called for each that its endpoint has dropped. */
    fun release(handles: List<ResultHandle>, onReleased: (ResultHandle) -> Unit) {
        for (handle in handles) {
            val address = StageCodec.endpointAddressOf(handle.value) ?: continue
            val list = pendingReleases.getOrPut(address) {
                thread.after(BATCH_DELAY) { send(address) }
                mutableListOf()
            }
            list += Release(handle, onReleased)
        }
    }

    private fun send(address: SocketAddress) {
        val releases = pendingReleases.remove(address) ?: return
        val endpoint = endpointByAddress(address)?.takeIf(isUsable) ?: return
        endpoint.connections.acquire(
            requestId = null,
            mayRepeat = true,
            opened = { if (isUsable(endpoint)) send(endpoint, releases, it) else it.release() },
            failed = {},
        )
    }

    private fun send(endpoint: Endpoint, releases: List<Release>, connection: OutboundConnection) {
        var timer: Timer? = null
        var exchange: OutboundExchange? = null
        val collector = ResponseCollector(memory) { outcome ->
            timer?.cancel()
            // The rest of a response without memory would keep the connection.
            if (outcome !is ExchangeOutcome.Completed) exchange?.cancel()
            if (isReleased(outcome)) releases.forEach { it.onReleased(it.handle) }
        }
        timer = thread.after(RESPONSE_TIMEOUT) {
            exchange?.cancel()
            collector.cancel()
        }
        exchange = connection.send(request(endpoint, releases.map { it.handle }), requestId = null, collector)
    }

    private fun isReleased(outcome: ExchangeOutcome) =
        outcome is ExchangeOutcome.Completed && outcome.response.head.status == OK

    private fun request(endpoint: Endpoint, handles: List<ResultHandle>): OutboundRequest {
        val headers = DefaultHttpHeaders()
            .add("Host", endpoint.entry.address.toString())
            .add("Content-Type", "application/json")
            .add(WireHeaders.EXPECTED_ENDPOINT, endpoint.entry.id.value)
        val body = StageCodec.encodeRelease(handles.map { it.value }).encodeToByteArray()
        return OutboundRequest(HttpMethod.POST, WirePaths.STAGE_FREE, headers, body)
    }

    private companion object {
        const val OK = 200
        val BATCH_DELAY = 5.milliseconds
        val RESPONSE_TIMEOUT = 2.seconds
    }
}
