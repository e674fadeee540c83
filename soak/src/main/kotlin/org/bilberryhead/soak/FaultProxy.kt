package org.bilberryhead.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** How a proxy treats the bytes that it forwards. */
internal enum class LinkState {
    /** Forwards bytes at once. */
    OPEN,

    /** Forwards bytes after a delay. */
    DELAYED,

    /** Drops bytes sent to the server; forwards bytes sent by it. */
    ONE_WAY,

    /** Drops bytes in both directions and keeps the connections established. */
    SILENT,
}

/** A TCP proxy on loopback that forwards connections to the port [target] and injects network faults. */
internal class FaultProxy(private val target: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val openSockets = ConcurrentHashMap.newKeySet<Socket>()

    /** Port that the proxy listens on. */
    val port: Int get() = server.localPort

    /** How the proxy treats bytes that it receives from now on. */
    @Volatile
    var state = LinkState.OPEN

    init {
        thread(isDaemon = true) { acceptAll() }
    }

    /** Resets all established connections. */
    fun resetAll() = openSockets.forEach(::reset)

    private fun reset(socket: Socket) = try {
        socket.setSoLinger(true, 0)
        socket.close()
    } catch (_: IOException) {
        // Another thread has already closed the socket.
        openSockets -= socket
    }

    private fun acceptAll() {
        while (!server.isClosed) {
            try {
                connect(server.accept())
            } catch (_: IOException) {
                // The proxy was closed, which ends the loop, or the target is not listening and the client is closed.
                continue
            }
        }
    }

    private fun connect(client: Socket) {
        val upstream = try {
            Socket("127.0.0.1", target)
        } catch (failure: IOException) {
            client.close()
            throw failure
        }
        openSockets += listOf(client, upstream)
        thread(isDaemon = true) { copyBytes(client, upstream, towardsServer = true) }
        thread(isDaemon = true) { copyBytes(upstream, client, towardsServer = false) }
    }

    private fun copyBytes(from: Socket, to: Socket, towardsServer: Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        var isComplete = true
        try {
            var count = from.getInputStream().read(buffer)
            while (count >= 0) {
                val isLost = state == LinkState.SILENT || (state == LinkState.ONE_WAY && towardsServer)
                if (state == LinkState.DELAYED) Thread.sleep(DELAY_MS)
                if (isLost) isComplete = false else to.getOutputStream().write(buffer, 0, count)
                count = from.getInputStream().read(buffer)
            }
        } catch (_: IOException) {
            // One socket was closed or reset; the finally block closes both.
            isComplete = false
        } finally {
            openSockets -= setOf(from, to)
            // TCP never reports an orderly end after a reset or after bytes that it has lost.
            if (!isComplete) reset(to)
            from.close()
            to.close()
        }
    }

    override fun close() = server.close()

    private companion object {
        const val BACKLOG = 200
        const val BUFFER_BYTES = 16_384
        const val DELAY_MS = 150L
    }
}
