package org.bilberryhead.protocol

import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.isClosed
import io.ktor.network.sockets.toJavaAddress
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.io.IOException
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Welcome
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val log = KotlinLogging.logger("protocol")

/** Callbacks of a [MessageServer], which calls them from several threads. */
interface MessageServerHandler {
    /** Returns the response to [hello]. */
    fun welcome(hello: Hello): Welcome

    /** Returns the heartbeat that is sent in response to a received heartbeat. */
    fun heartbeat(): Heartbeat

    /**
     * Called when the handshake is complete. [send] queues a message on the connection and returns whether it was
     * queued. If not, the connection is closed, so that the other end reconnects and requests what it missed.
     */
    suspend fun onOpened(connection: Long, hello: Hello, send: (Message) -> Boolean)

    /** Called for each message other than the hello. */
    suspend fun onMessage(connection: Long, message: Message)

    /** Called when the connection is closed. */
    suspend fun onClosed(connection: Long)
}

/** Accepts and serves connections from other processes of the system. */
class MessageServer(
    private val address: SocketAddress,
    private val handler: MessageServerHandler,
    private val scope: CoroutineScope,
    private val timings: ProtocolTimings = ProtocolTimings(),
) {
    private val connectionNumbers = AtomicLong()
    private val connections = ConcurrentHashMap<Long, MessageConnection>()
    private val selectors = SelectorManager(Dispatchers.IO)
    private var serverSocket: ServerSocket? = null
    private val failureLogger = CoroutineExceptionHandler { _, failure ->
        log.error(failure) { "protocol: a connection failed" }
    }

    /** Number of connections that are open. */
    val openConnections: Int get() = connections.size

    /** Address on which the server listens. Available once [start] has returned. */
    val listenAddress: SocketAddress
        get() {
            val bound = checkNotNull(serverSocket) { "the server is not started" }.localAddress.toJavaAddress()
            return SocketAddress(address.host, (bound as java.net.InetSocketAddress).port)
        }

    /** Starts listening; the server accepts connections once this has returned. */
    suspend fun start() {
        val bound = aSocket(selectors).tcp().bind(InetSocketAddress(address.host, address.port)) {
            reuseAddress = true
        }
        serverSocket = bound
        scope.launch(failureLogger) { acceptLoop(bound) }
    }

    /** Closes the listening socket and every connection immediately. */
    fun stop() {
        serverSocket?.close()
        connections.values.forEach { it.close() }
        selectors.close()
    }

    /** Closes the listening socket, and each connection once its queued messages are sent or [timeout] has passed. */
    suspend fun stopGracefully(timeout: Duration) {
        serverSocket?.close()
        coroutineScope {
            connections.values.forEach { launch { it.closeGracefully(timeout) } }
        }
        selectors.close()
    }

    private suspend fun acceptLoop(bound: ServerSocket) {
        while (!bound.isClosed) {
            try {
                val socket = bound.accept()
                scope.launch(failureLogger) { serve(socket) }
            } catch (failure: IOException) {
                log.info { "protocol: could not accept a connection: ${failure.message}" }
                delay(ACCEPT_RETRY_DELAY)
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        val connection = MessageConnection(socket, scope)
        try {
            val hello = handshake(connection)
            if (hello != null) serveConnection(connectionNumbers.incrementAndGet(), connection, hello)
        } finally {
            connection.close()
        }
    }

    private suspend fun handshake(connection: MessageConnection): Hello? {
        val first = connection.receive(timings.handshakeTimeout, MAXIMUM_HELLO_BYTES).getOrElse { return refuse(it) }
        val hello = first as? Hello ?: return refuse(ProtocolError.Malformed("the first message is not a hello"))
        if (hello.protocolVersion != MessageCodec.PROTOCOL_VERSION) {
            return refuse(ProtocolError.WrongVersion(hello.protocolVersion))
        }
        return hello
    }

    private fun refuse(error: ProtocolError): Hello? {
        log.warn { "protocol: handshake refused: $error" }
        return null
    }

    private suspend fun serveConnection(number: Long, connection: MessageConnection, hello: Hello) {
        connections[number] = connection
        try {
            connection.trySend(handler.welcome(hello))
            handler.onOpened(number, hello) { sendOrClose(connection, it) }
            receiveLoop(number, connection)
        } finally {
            connections.remove(number)
            connection.close()
            withContext(NonCancellable) { handler.onClosed(number) }
        }
    }

    private fun sendOrClose(connection: MessageConnection, message: Message): Boolean {
        val isSent = connection.trySend(message)
        if (!isSent) connection.close()
        return isSent
    }

    private suspend fun receiveLoop(number: Long, connection: MessageConnection) {
        while (!connection.isClosed) {
            val message = connection.receive(timings.clientSilenceTimeout).getOrElse {
                log.info { "protocol: connection $number closed: $it" }
                return
            }
            handler.onMessage(number, message)
            if (message is Heartbeat) connection.trySend(handler.heartbeat())
        }
    }

    private companion object {
        /** Maximum size of the first message, which arrives before the peer has identified itself. */
        const val MAXIMUM_HELLO_BYTES = 64 * 1024

        /** Delay after a failed accept, for example when no file descriptors are available. */
        val ACCEPT_RETRY_DELAY = 100.milliseconds
    }
}
