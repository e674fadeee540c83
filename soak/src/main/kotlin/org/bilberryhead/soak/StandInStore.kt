package org.bilberryhead.soak

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import org.bilberryhead.platform.wire.WirePaths
import java.net.InetSocketAddress
import java.util.concurrent.Executors

/**
 * A fake of the platform's store.
 *
 * @param respondTo returns the status and the body of the response to a call to a URI with a body
 */
internal class StandInStore(private val respondTo: (uri: String, body: String) -> Pair<Int, String>) : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)

    /** Port that the store listens on. */
    val port: Int get() = server.address.port

    /** Whether the store rejects every call with status 503. */
    @Volatile
    var isUnavailable = false

    init {
        server.executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
        server.createContext("/") { respond(it) }
        server.start()
    }

    private fun respond(exchange: HttpExchange) = exchange.use {
        val uri = it.requestURI.toString()
        if (uri.startsWith(WirePaths.FEED)) Thread.sleep(FEED_RESPONSE_DELAY_MS)
        val (status, text) = respondTo(uri, it.requestBody.readBytes().decodeToString())
        val body = text.encodeToByteArray()
        if (isUnavailable) {
            it.sendResponseHeaders(UNAVAILABLE, -1)
        } else {
            it.sendResponseHeaders(status, body.size.toLong())
            it.responseBody.write(body)
        }
    }

    override fun close() = server.stop(0)

    private companion object {
        const val UNAVAILABLE = 503
        const val FEED_RESPONSE_DELAY_MS = 400L
    }
}
