package org.bilberryhead.forwarding

import io.netty.handler.codec.http.FullHttpRequest
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.http.SimpleHttpResponse
import org.bilberryhead.forwarding.http.SimpleHttpServer
import org.bilberryhead.platform.wire.SampleDeployment
import org.bilberryhead.platform.wire.SampleEndpoint
import org.bilberryhead.platform.wire.WireHeaders
import java.io.IOException
import java.net.HttpURLConnection
import java.net.ServerSocket
import java.net.URI

/**
 * Runs an entry briefly on loopback against a store and an endpoint with fixed responses. The build does this once to
 * record the classes that an entry loads in a class data archive, from which it starts faster.
 */
internal class TrainingRun(private val newThread: () -> EventThread, private val start: (ForwardingSettings) -> Unit) {
    private val store = freeAddress()
    private val endpoint = freeAddress()
    private val sample = SampleDeployment(
        HOST,
        SampleDeployment.Pool.entries.map { SampleEndpoint(it.wireName, it.wireName, endpoint.toString()) },
    )
    private val settings = ForwardingSettings(
        id = DaemonId("training"),
        dataCentre = DataCentre("here"),
        callers = freeAddress(),
        readiness = freeAddress(),
        peers = freeAddress(),
        metrics = freeAddress(),
        store = store,
        retrySlack = 10.0,
    )

    /** Sends a few requests of each kind and returns how many succeeded. */
    fun run(): Int {
        SimpleHttpServer(newThread(), ::respondAsStore).listen(store)
        SimpleHttpServer(newThread(), ::respondAsEndpoint).listen(endpoint)
        start(settings)
        Thread.sleep(START_TIME_MS)
        val succeeded = (0 until ROUNDS).sumOf { round ->
            sample.requestPaths.count { path -> requestSucceeds(path, "$round$path") }
        }
        fetch("http://${settings.metrics}/")
        return succeeded
    }

    private fun respondAsStore(request: FullHttpRequest) =
        SimpleHttpResponse(OK, sample.storeResponseBody(request.uri()))

    private fun respondAsEndpoint(request: FullHttpRequest): SimpleHttpResponse {
        val headers = mapOf(
            WireHeaders.REQUEST_ID to request.headers()[WireHeaders.REQUEST_ID].orEmpty(),
            WireHeaders.SIGNATURE to "signature",
            WireHeaders.LOAD to "1,0,4",
        )
        return SimpleHttpResponse(
            OK,
            sample.endpointResponseBody(endpoint.toString(), request.uri()),
            headers = headers,
        )
    }

    private fun requestSucceeds(path: String, id: String): Boolean {
        val connection = URI("http://${settings.callers}$path").toURL().openConnection() as HttpURLConnection
        connection.setRequestProperty(WireHeaders.REQUEST_ID, id)
        sample.requestHeaders(path).forEach(connection::setRequestProperty)
        return connection.responseCode == OK && connection.inputStream.readBytes().isNotEmpty()
    }

    private fun fetch(address: String) = URI(address).toURL().openStream().use { it.readBytes() }

    private companion object {
        const val OK = 200
        const val ROUNDS = 3
        const val START_TIME_MS = 1_500L
        const val HOST = "127.0.0.1"

        fun freeAddress(): SocketAddress = try {
            ServerSocket(0).use { SocketAddress(HOST, it.localPort) }
        } catch (failure: IOException) {
            throw IllegalStateException("no free port on loopback", failure)
        }
    }
}
