package org.bilberryhead.protocol

import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Welcome
import kotlin.random.Random

private val log = KotlinLogging.logger("protocol")

/** What a daemon does with a connection that it keeps open to another process. Called from one coroutine. */
interface ClientHandler {
    /** Returns the hello to open a connection with. */
    fun hello(): Hello

    /** Returns the heartbeat to send now. */
    fun heartbeat(): Heartbeat

    /** The other process has answered the hello. */
    suspend fun opened(welcome: Welcome)

    /** A message other than the welcome arrived. */
    suspend fun received(message: Message)

    /** An open connection is lost; another try follows. */
    suspend fun lost(error: ProtocolError)
}

/** Keeps one connection open to the process at [address], and opens a new one whenever it is lost. */
class MessageClient(
    private val address: SocketAddress,
    private val handler: ClientHandler,
    private val selectors: SelectorManager,
    private val scope: CoroutineScope,
    private val timings: ProtocolTimings = ProtocolTimings(),
    private val random: Random = Random.Default,
) {
    @Volatile
    private var connection: MessageConnection? = null
    private var job: Job? = null

    /** Begins to connect; returns at once. */
    fun start() {
        job = scope.launch { connectLoop() }
    }

    /** Closes the connection and stops to connect. */
    fun stop() {
        job?.cancel()
        connection?.close()
    }

    /** Queues [message]; false means that no byte of it was or will be written. */
    fun trySend(message: Message): Boolean = connection?.trySend(message) ?: false

    private suspend fun connectLoop() {
        var pause = timings.reconnectDelay
        while (true) {
            val wasOpen = connectAndLogFailure()
            pause = if (wasOpen) timings.reconnectDelay else minOf(pause * 2, timings.maximumReconnectDelay)
            delay(pause * random.nextDouble(LEAST_JITTER, MOST_JITTER))
        }
    }

    @Suppress("TooGenericExceptionCaught") // a fault of the handler must not end the reconnecting for good
    private suspend fun connectAndLogFailure(): Boolean = try {
        connectOnce()
    } catch (cancellation: CancellationException) {
        throw cancellation
    } catch (failure: Exception) {
        log.error(failure) { "protocol: the connection to $address failed" }
        false
    }

    private suspend fun connectOnce(): Boolean {
        val opened = open() ?: return false
        try {
            val welcome = greet(opened) ?: return false
            serve(opened, welcome)
            return true
        } finally {
            opened.close()
        }
    }

    private suspend fun serve(opened: MessageConnection, welcome: Welcome) = coroutineScope {
        connection = opened
        val heartbeats = launch { heartbeatLoop(opened) }
        var error: ProtocolError = ProtocolError.Closed("stopped")
        try {
            handler.opened(welcome)
            error = receiveLoop(opened)
        } finally {
            heartbeats.cancel()
            connection = null
            opened.close()
            log.info { "protocol: connection to $address lost: $error" }
            withContext(NonCancellable) { handler.lost(error) }
        }
    }

    private suspend fun open(): MessageConnection? = try {
        withTimeoutOrNull(timings.connectTimeout) {
            val socket = aSocket(selectors).tcp().connect(InetSocketAddress(address.host, address.port)) {
                noDelay =
                    true
            }
            MessageConnection(socket, scope, timings.silenceLimit)
        }
    } catch (failure: IOException) {
        log.debug { "protocol: no connection to $address: ${failure.message}" }
        null
    }

    private suspend fun greet(opened: MessageConnection): Welcome? {
        opened.trySend(handler.hello())
        val answer = opened.receive().getOrElse {
            log.info { "protocol: no welcome from $address: $it" }
            return null
        }
        return answer as? Welcome
    }

    private suspend fun receiveLoop(opened: MessageConnection): ProtocolError {
        while (true) {
            handler.received(opened.receive().getOrElse { return it })
        }
    }

    private suspend fun heartbeatLoop(opened: MessageConnection) {
        while (!opened.isClosed) {
            delay(timings.heartbeatInterval)
            opened.trySend(handler.heartbeat())
        }
    }

    private companion object {
        /** A pause is multiplied by a random factor, so that many processes do not reconnect at the same moment. */
        const val LEAST_JITTER = 0.5
        const val MOST_JITTER = 1.5
    }
}
