package org.bilberryhead.forwarding.stage

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.endpoint.Endpoint
import org.bilberryhead.forwarding.http.ExchangeEnd
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.forwarding.http.ResponseCollector
import org.bilberryhead.platform.wire.StageCodec
import org.bilberryhead.platform.wire.WireHeaders
import org.bilberryhead.platform.wire.WirePaths
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tells endpoints which results are not needed any more, several at a time. A call that fails is not repeated. */
internal class ResultReleaser(private val thread: EventThread, private val endpointAt: (SocketAddress) -> Endpoint?) {
    private class Release(val handle: ResultHandle, val done: (ResultHandle) -> Unit)

    private val waiting = mutableMapOf<SocketAddress, MutableList<Release>>()

    /** Gives up the results at [handles]; [done] is told of each that its endpoint has dropped. */
    fun release(handles: List<ResultHandle>, done: (ResultHandle) -> Unit) {
        for (handle in handles) {
            val maker = StageCodec.endpointAddressOf(handle.value) ?: continue
            val list = waiting.getOrPut(maker) {
                thread.after(GATHER_TIME) { flush(maker) }
                mutableListOf()
            }
            list += Release(handle, done)
        }
    }

    private fun flush(maker: SocketAddress) {
        val releases = waiting.remove(maker) ?: return
        val endpoint = endpointAt(maker) ?: return
        endpoint.connections.acquire(
            mayRepeat = true,
            opened = { connection ->
                val timer = thread.after(ANSWER_LIMIT) { connection.close() }
                val collector = ResponseCollector { end ->
                    timer.cancel()
                    if (end is ExchangeEnd.Answered) releases.forEach { it.done(it.handle) }
                }
                connection.send(request(endpoint, releases.map { it.handle }), requestId = null, collector)
            },
            // The results end by themselves after the time that the endpoint keeps them.
            failed = {},
        )
    }

    private fun request(endpoint: Endpoint, handles: List<ResultHandle>): OutboundRequest {
        val headers = DefaultHttpHeaders()
            .add("Host", endpoint.entry.address.toString())
            .add("Content-Type", "application/json")
            .add(WireHeaders.EXPECTED_ENDPOINT, endpoint.entry.id.value)
        val body = StageCodec.encodeRelease(handles.map { it.value }).encodeToByteArray()
        return OutboundRequest(HttpMethod.POST, WirePaths.STAGE_FREE, headers, body)
    }

    private companion object {
        val GATHER_TIME = 5.milliseconds
        val ANSWER_LIMIT = 2.seconds
    }
}
