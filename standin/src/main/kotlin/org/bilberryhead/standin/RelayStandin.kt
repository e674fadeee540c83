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

/** What a relay does with the bytes that it is given. */
@Serializable
enum class RelayMode {
    /** Passes bytes on. */
    PASS,

    /** Closes every connection, and each new one at once. */
    CUT,

    /** Holds back bytes towards the target; bytes from it pass. */
    HOLD_TO_TARGET,

    /** Holds back bytes from the target; bytes towards it pass. */
    HOLD_FROM_TARGET,

    /** Open connections carry nothing any more, for good; new ones pass. */
    SILENT,

    /** Passes bytes on later. */
    DELAY,
}

/**
 * A mode to set on one relay.
 *
 * @property delayMillis how much later bytes are passed on, in milliseconds
 */
@Serializable
data class RelayFault(val mode: RelayMode, val delayMillis: Long = 200)

/** Plays what lies between two processes: it may cut, hold back or lose track of their connections. */
class RelayStandin(relays: List<RelaySettings>) {
    private val selectors = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val relays = relays.associate { it.name to Relay(it) }

    /** Starts every relay. */
    suspend fun start() = relays.values.forEach { it.start() }

    /** Adds the route that switches the relays. */
    fun install(route: Route) = with(route) {
        post("/faults/relays/{relay}") {
            val fault = Json.decodeFromString<RelayFault>(call.receiveText())
            relays.getValue(name("relay")).switch(fault)
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

        fun switch(next: RelayFault) {
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

private class RelayedConnection(
    private val source: Socket,
    private val target: Socket,
    private val fault: MutableStateFlow<RelayFault>,
) {
    private val silenced = MutableStateFlow(false)

    fun close() {
        source.close()
        target.close()
    }

    fun silence() {
        silenced.value = true
    }

    suspend fun run() = coroutineScope {
        launch { pump(source.openReadChannel(), target.openWriteChannel(), RelayMode.HOLD_TO_TARGET) }
        launch { pump(target.openReadChannel(), source.openWriteChannel(), RelayMode.HOLD_FROM_TARGET) }
    }

    private suspend fun pump(from: ByteReadChannel, to: ByteWriteChannel, holding: RelayMode) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.readAvailable(buffer)
                if (count < 0) break
                waitToPass(holding)
                to.writeFully(buffer, 0, count)
                to.flush()
            }
        } catch (_: IOException) {
            // The other side is gone; both are closed below.
        } finally {
            close()
        }
    }

    private suspend fun waitToPass(holding: RelayMode) {
        silenced.first { !it }
        val current = fault.value
        if (current.mode == RelayMode.DELAY) delay(current.delayMillis)
        fault.first { it.mode != holding }
    }

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
    }
}
