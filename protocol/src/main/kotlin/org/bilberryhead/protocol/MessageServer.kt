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

/** What a daemon does with the connections that others open to it. Called from several threads. */
interface MessageServerHandler {
    /** Returns the answer to [hello]. */
    fun welcome(hello: Hello): Welcome

    /** Returns the heartbeat with which to answer one. */
    fun heartbeat(): Heartbeat

    /**
     * The connection is open; [send] queues a message on it and returns whether it could. A connection that can not
     * take a message is closed, so that the other end asks for what it missed.
     */
    suspend fun onOpened(connection: Long, hello: Hello, send: (Message) -> Boolean)

    /** A message other than the hello arrived. */
    suspend fun onMessage(connection: Long, message: Message)

    /** The connection is closed. */
    suspend fun onClosed(connection: Long)
}

/** Accepts connections from other processes of the system. */
class MessageServer(
    private val address: SocketAddress,
    private val handler: MessageServerHandler,
    private val scope: CoroutineScope,
    private val timings: ProtocolTimings = ProtocolTimings(),
) {
    private val numbers = AtomicLong()
    private val open = ConcurrentHashMap<Long, MessageConnection>()
    private val selectors = SelectorManager(Dispatchers.IO)
    private var serverSocket: ServerSocket? = null
    private val failureLogger = CoroutineExceptionHandler { _, failure ->
        log.error(failure) { "protocol: a connection failed" }
    }

    /** Number of connections that are open. */
    val openConnections: Int get() = open.size

    /** Where the server listens; its port is known once [start] has returned. */
    val listenAddress: SocketAddress
        get() {
            val bound = checkNotNull(serverSocket) { "the server is not started" }.localAddress.toJavaAddress()
            return SocketAddress(address.host, (bound as java.net.InetSocketAddress).port)
        }

    /** Starts to listen and returns once connections are accepted. */
    suspend fun start() {
        val bound = aSocket(selectors).tcp().bind(InetSocketAddress(address.host, address.port)) {
            reuseAddress = true
        }
        serverSocket = bound
        scope.launch(failureLogger) { acceptLoop(bound) }
    }

    /** Closes the listening socket and every connection at once. */
    fun stop() {
        serverSocket?.close()
        open.values.forEach { it.close() }
        selectors.close()
    }

    /** Closes the listening socket, and every connection once what is queued on it has been sent, within [limit]. */
    suspend fun finish(limit: Duration) {
        serverSocket?.close()
        coroutineScope {
            open.values.forEach { launch { it.finish(limit) } }
        }
        selectors.close()
    }

    private suspend fun acceptLoop(bound: ServerSocket) {
        while (!bound.isClosed) {
            try {
                val socket = bound.accept()
                scope.launch(failureLogger) { serve(socket) }
            } catch (failure: IOException) {
                log.info { "protocol: no connection accepted: ${failure.message}" }
                delay(ACCEPT_PAUSE)
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        val connection = MessageConnection(socket, scope)
        try {
            val hello = greet(connection)
            if (hello != null) serve(numbers.incrementAndGet(), connection, hello)
        } finally {
            connection.close()
        }
    }

    private suspend fun greet(connection: MessageConnection): Hello? {
        val first = connection.receive(timings.helloLimit, MAXIMUM_HELLO_BYTES).getOrElse { return refuse(it) }
        val hello = first as? Hello ?: return refuse(ProtocolError.Malformed("the first message is not a hello"))
        if (hello.protocolVersion != MessageCodec.PROTOCOL_VERSION) {
            return refuse(ProtocolError.WrongVersion(hello.protocolVersion))
        }
        return hello
    }

    private fun refuse(error: ProtocolError): Hello? {
        log.warn { "protocol: connection refused: $error" }
        return null
    }

    private suspend fun serve(number: Long, connection: MessageConnection, hello: Hello) {
        open[number] = connection
        try {
            connection.trySend(handler.welcome(hello))
            handler.onOpened(number, hello) { sendOrClose(connection, it) }
            receiveLoop(number, connection)
        } finally {
            open.remove(number)
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
            val message = connection.receive(timings.clientSilenceLimit).getOrElse {
                log.info { "protocol: connection $number ended: $it" }
                return
            }
            handler.onMessage(number, message)
            if (message is Heartbeat) connection.trySend(handler.heartbeat())
        }
    }

    private companion object {
        /** Largest first message of a peer that has not yet said who it is. */
        const val MAXIMUM_HELLO_BYTES = 64 * 1024

        /** Pause after a failed accept, such as for want of file descriptors. */
        val ACCEPT_PAUSE = 100.milliseconds
    }
}
