package org.bilberryhead.standin

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.SocketAddress
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap

/** How a relay treats the bytes that it receives. */
@Serializable
enum class RelayMode {
    /** Forwards bytes immediately. */
    PASS,

    /** Closes all established connections, and each new connection as soon as it is accepted. */
    CUT,

    /** Holds back bytes sent to the target; forwards bytes sent by it. */
    HOLD_TO_TARGET,

    /** Holds back bytes sent by the target; forwards bytes sent to it. */
    HOLD_FROM_TARGET,

    /** Established connections stay open but never forward bytes again; new connections forward bytes. */
    SILENT,

    /** Forwards bytes after a delay. */
    DELAY,
}

/**
 * A fault to inject into a relay.
 *
 * @property delayMillis delay of forwarded bytes, in milliseconds
 */
@Serializable
data class RelayFault(val mode: RelayMode, val delayMillis: Long = 200)

/** TCP relays between two processes. A relay can close its connections, and delay or hold back the bytes on them. */
class RelayStandin(relays: List<RelaySettings>) {
    private val selectors = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val relays = relays.associate { it.name to Relay(it) }

    /** Starts every relay. */
    suspend fun start() = relays.values.forEach { it.start() }

    /** Adds the HTTP route that sets the faults of relays. */
    fun install(route: Route) = with(route) {
        post("/faults/relays/{relay}") {
            val fault = Json.decodeFromString<RelayFault>(call.receiveText())
            relays.getValue(pathParameter("relay")).setFault(fault)
            call.respondText("set\n")
        }
    }

    private inner class Relay(private val settings: RelaySettings) {
        private val fault = MutableStateFlow(RelayFault(RelayMode.PASS))
        private val connections = ConcurrentHashMap.newKeySet<RelayedConnection>()

        suspend fun start() {
            val server = aSocket(selectors).tcp().bind(settings.listen.host, settings.listen.port)
            scope.launch { acceptLoop(server) }
        }

        fun setFault(next: RelayFault) {
            when (next.mode) {
                RelayMode.CUT -> connections.forEach { it.close() }
                RelayMode.SILENT -> connections.forEach { it.silence() }
                else -> Unit
            }
            fault.value = next
        }

        private suspend fun acceptLoop(server: ServerSocket) {
            while (true) {
                val socket = server.accept()
                if (fault.value.mode == RelayMode.CUT) socket.close() else scope.launch { serve(socket) }
            }
        }

        private suspend fun serve(source: Socket) {
            val target = connect(settings.target)
            if (target == null) {
                source.close()
                return
            }
            val connection = RelayedConnection(source, target, fault)
            connections += connection
            connection.run()
            connections -= connection
        }
    }

    private suspend fun connect(address: SocketAddress): Socket? = try {
        aSocket(selectors).tcp().connect(address.host, address.port)
    } catch (_: IOException) {
        null
    }
}

/** A connection of a client and the connection to the target that its bytes are forwarded to, and back. */
private class RelayedConnection(
    private val source: Socket,
    private val target: Socket,
    private val fault: MutableStateFlow<RelayFault>,
) {
    private val isSilenced = MutableStateFlow(false)

    fun close() {
        source.close()
        target.close()
    }

    /** Stops forwarding for good; both sockets stay open. */
    fun silence() {
        isSilenced.value = true
    }

    /** Forwards bytes in both directions until one socket is closed. */
    suspend fun run() = coroutineScope {
        launch { forward(source.openReadChannel(), target.openWriteChannel(), RelayMode.HOLD_TO_TARGET) }
        launch { forward(target.openReadChannel(), source.openWriteChannel(), RelayMode.HOLD_FROM_TARGET) }
    }

    private suspend fun forward(from: ByteReadChannel, to: ByteWriteChannel, holdMode: RelayMode) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.readAvailable(buffer)
                if (count < 0) break
                awaitForwarding(holdMode)
                to.writeFully(buffer, 0, count)
                to.flush()
            }
        } catch (_: IOException) {
            // One socket was closed; the finally block closes both.
        } finally {
            close()
        }
    }

    private suspend fun awaitForwarding(holdMode: RelayMode) {
        isSilenced.first { !it }
        val current = fault.value
        if (current.mode == RelayMode.DELAY) delay(current.delayMillis)
        fault.first { it.mode != holdMode }
    }

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
    }
}
