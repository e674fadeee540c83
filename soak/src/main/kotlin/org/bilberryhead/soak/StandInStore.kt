package org.bilberryhead.soak

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import org.bilberryhead.platform.wire.SampleDeployment
import org.bilberryhead.platform.wire.WirePaths
import java.net.InetSocketAddress
import java.util.concurrent.Executors

/** The platform's store, with the rows of one deployment. */
internal class StandInStore(private val deployment: () -> SampleDeployment) : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)

    /** Where it listens. */
    val port: Int get() = server.address.port

    /** Whether it turns every call away. */
    @Volatile
    var isBusy = false

    init {
        server.executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
        server.createContext("/") { answer(it) }
        server.start()
    }

    private fun answer(exchange: HttpExchange) = exchange.use {
        val uri = it.requestURI.toString()
        if (uri.startsWith(WirePaths.FEED)) Thread.sleep(FEED_WAIT_MS)
        val body = deployment().storeResponseBody(uri).encodeToByteArray()
        it.requestBody.readBytes()
        if (isBusy) {
            it.sendResponseHeaders(BUSY, -1)
        } else {
            it.sendResponseHeaders(OK, body.size.toLong())
            it.responseBody.write(body)
        }
    }

    override fun close() = server.stop(0)

    private companion object {
        const val OK = 200
        const val BUSY = 503
        const val FEED_WAIT_MS = 400L
    }
}
