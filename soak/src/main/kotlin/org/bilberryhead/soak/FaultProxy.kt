package org.bilberryhead.soak

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** What a proxy does with the bytes that it carries. */
internal enum class LinkState {
    /** Passes them on. */
    OPEN,

    /** Passes them on late. */
    DELAYED,

    /** Loses what goes towards the server. */
    ONE_WAY,

    /** Loses everything, without closing a connection. */
    SILENT,
}

/** Carries connections on loopback to [target] and misbehaves on demand. */
internal class FaultProxy(private val target: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val open = ConcurrentHashMap.newKeySet<Socket>()

    /** Where it listens. */
    val port: Int get() = server.localPort

    /** What it does with bytes that arrive from now on. */
    @Volatile
    var state = LinkState.OPEN

    init {
        thread(isDaemon = true) { acceptAll() }
    }

    /** Resets every connection that is open now. */
    fun resetAll() = open.forEach {
        try {
            it.setSoLinger(true, 0)
            it.close()
        } catch (_: IOException) {
            // Another thread has closed it in between.
            open -= it
        }
    }

    private fun acceptAll() {
        while (!server.isClosed) {
            try {
                connect(server.accept())
            } catch (_: IOException) {
                // The proxy was closed, or its target does not listen; the connection ends with it.
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
        open += listOf(client, upstream)
        thread(isDaemon = true) { carry(client, upstream, towardsServer = true) }
        thread(isDaemon = true) { carry(upstream, client, towardsServer = false) }
    }

    private fun carry(from: Socket, to: Socket, towardsServer: Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            var count = from.getInputStream().read(buffer)
            while (count >= 0) {
                val isLost = state == LinkState.SILENT || (state == LinkState.ONE_WAY && towardsServer)
                if (state == LinkState.DELAYED) Thread.sleep(DELAY_MS)
                if (!isLost) to.getOutputStream().write(buffer, 0, count)
                count = from.getInputStream().read(buffer)
            }
        } catch (_: IOException) {
            // One end was closed or reset; the other one follows below.
        } finally {
            open -= setOf(from, to)
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
