package org.bilberryhead.platform.testing

import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import org.bilberryhead.platform.wire.StoreEra
import org.bilberryhead.platform.wire.WireHeaders
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** Serves [rows] on loopback. A connection on which a response is lost delivers nothing further, without an end. */
class RowStoreServer(val rows: RowStore = RowStore()) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName(HOST))
    private val connections: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    /** Address that the store listens on. */
    val address: SocketAddress = SocketAddress(HOST, server.localPort)

    /** Whether the store rejects every call with status 503. */
    @Volatile
    var isUnavailable = false

    init {
        thread(isDaemon = true) { acceptAll() }
    }

    private fun acceptAll() {
        while (!server.isClosed) {
            try {
                val connection = server.accept()
                thread(isDaemon = true) { serve(connection) }
            } catch (_: IOException) {
                // The server was closed, which ends the loop.
                continue
            }
        }
    }

    private fun serve(connection: Socket) {
        connections += connection
        try {
            connection.tcpNoDelay = true
            connection.use(::serveCalls)
        } catch (_: IOException) {
            // The caller has left.
        } finally {
            connections -= connection
        }
    }

    private fun serveCalls(connection: Socket) {
        var isSilent = false
        while (true) {
            val call = connection.getInputStream().readMessage() ?: return
            if (isSilent) continue
            val response = rows.respond(call.head.substringAfter(' ').substringBefore(' '), call.body)
            when {
                response == null -> isSilent = true
                isUnavailable -> connection.send("$UNAVAILABLE Unavailable", response.era, body = "")
                else -> connection.send("${response.status} -", response.era, body = response.body)
            }
        }
    }

    private fun Socket.send(status: String, era: StoreEra, body: String) {
        val length = body.encodeToByteArray().size
        val headers = "${WireHeaders.STORE_ERA}: ${era.number}\r\nContent-Length: $length\r\n"
        getOutputStream().writeText("HTTP/1.1 $status\r\n$headers\r\n$body")
    }

    override fun close() {
        server.close()
        connections.forEach { it.close() }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val BACKLOG = 200
        const val UNAVAILABLE = 503
    }
}
