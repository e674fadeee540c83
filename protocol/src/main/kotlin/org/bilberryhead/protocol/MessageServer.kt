package org.bilberryhead.protocol

import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Welcome
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

private val log = KotlinLogging.logger("protocol")

/** What a daemon does with the connections that others open to it. Called from several threads. */
interface ConnectionHandler {
    /** Returns the answer to [hello]. */
    fun welcome(hello: Hello): Welcome

    /** Returns the heartbeat to send now. */
    fun heartbeat(): Heartbeat

    /** The connection is open; [send] queues a message on it and returns whether it could. */
    suspend fun opened(connection: Long, hello: Hello, send: (Message) -> Boolean)

    /** A message other than the hello arrived. */
    suspend fun received(connection: Long, message: Message)

    /** The connection is closed. */
    suspend fun closed(connection: Long)
}

/** Accepts connections from other processes of the system. */
class MessageServer(
    private val address: SocketAddress,
    private val handler: ConnectionHandler,
    private val scope: CoroutineScope,
    private val timings: ProtocolTimings = ProtocolTimings(),
) {
    private val numbers = AtomicLong()
    private val open = ConcurrentHashMap<Long, MessageConnection>()
    private var serverSocket: ServerSocket? = null

    /** Starts to listen and returns once connections are accepted. */
    suspend fun start() {
        val listening = aSocket(
            SelectorManager(Dispatchers.IO),
        ).tcp().bind(InetSocketAddress(address.host, address.port)) {
            reuseAddress = true
        }
        serverSocket = listening
        scope.launch { acceptLoop(listening) }
    }

    /** Closes the listening socket and every connection. */
    fun stop() {
        serverSocket?.close()
        open.values.forEach { it.close() }
    }

    private suspend fun acceptLoop(listening: ServerSocket) {
        while (scope.isActive && listening.socketContext.isActive) {
            try {
                val socket = listening.accept()
                scope.launch { serve(socket) }
            } catch (failure: IOException) {
                log.info { "protocol: accept ended: ${failure.message}" }
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        val connection = MessageConnection(socket, scope, timings.silenceLimit)
        val number = numbers.incrementAndGet()
        try {
            val hello = connection.receive().getOrElse { return refuse(it) } as? Hello
                ?: return refuse(ProtocolError.Malformed("the first message is not a hello"))
            if (hello.protocolVersion != MessageCodec.PROTOCOL_VERSION) {
                return refuse(ProtocolError.WrongVersion(hello.protocolVersion))
            }
            open[number] = connection
            connection.trySend(handler.welcome(hello))
            handler.opened(number, hello, connection::trySend)
            val heartbeats = scope.launch { heartbeatLoop(connection) }
            receiveLoop(number, connection)
            heartbeats.cancel()
            handler.closed(number)
        } finally {
            open.remove(number)
            connection.close()
        }
    }

    private fun refuse(error: ProtocolError) {
        log.warn { "protocol: connection refused: $error" }
    }

    private suspend fun receiveLoop(number: Long, connection: MessageConnection) {
        while (!connection.isClosed) {
            val message = connection.receive().getOrElse {
                log.info { "protocol: connection $number ended: $it" }
                return
            }
            handler.received(number, message)
        }
    }

    private suspend fun heartbeatLoop(connection: MessageConnection) {
        while (!connection.isClosed) {
            delay(timings.heartbeatInterval)
            connection.trySend(handler.heartbeat())
        }
    }
}
