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
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.connection.ConnectionAction
import org.bilberryhead.core.connection.ConnectionMonitor
import org.bilberryhead.core.connection.ConnectionPhase
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Welcome
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration

private val log = KotlinLogging.logger("protocol")

/**
 * Callbacks of a [MessageClient]. The client calls the suspending functions one at a time, and the other members
 * possibly from another thread at the same time.
 */
interface MessageClientHandler {
    /** Returns the hello that opens a connection. */
    fun hello(): Hello

    /** Returns the heartbeat to send. */
    fun heartbeat(): Heartbeat

    /** Whether a sent message still waits for its response, so that the receive timeout applies. Must not block. */
    val isAwaitingResponse: Boolean

    /** Interval between two heartbeats while no response is awaited. */
    val idleInterval: Duration

    /** Called when the other process has responded to the hello with [welcome]. */
    suspend fun onOpened(welcome: Welcome)

    /** Called for each message other than the welcome. */
    suspend fun onMessage(message: Message)

    /** Called when an open connection is lost; the client then reconnects. */
    suspend fun onLost(error: ProtocolError)
}

/** Keeps a connection open to the process at [address], and reconnects whenever it is lost. */
class MessageClient(
    private val address: SocketAddress,
    private val handler: MessageClientHandler,
    private val selectors: SelectorManager,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val timings: ProtocolTimings = ProtocolTimings(),
    private val random: Random = Random.Default,
) {
    private val sentSignal = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var connection: MessageConnection? = null

    @Volatile
    private var isIdle = true

    @Volatile
    private var lastReceivedAt = clock.now()
    private var connectJob: Job? = null

    /** Starts connecting and returns immediately. */
    fun start() {
        connectJob = scope.launch { connectLoop() }
    }

    /** Closes the connection and stops reconnecting. */
    fun stop() {
        connectJob?.cancel()
        connection?.close()
    }

    /** Queues [message] for sending. False means that no byte of it was or will be written. */
    fun trySend(message: Message): Boolean {
        val isQueued = connection?.trySend(message) ?: false
        if (isQueued && isIdle) sentSignal.trySend(Unit)
        return isQueued
    }

    private suspend fun connectLoop() {
        var backoff = timings.initialReconnectDelay
        while (true) {
            val wasOpen = connectAndLogFailure()
            backoff = if (wasOpen) timings.initialReconnectDelay else minOf(backoff * 2, timings.maximumReconnectDelay)
            delay(backoff * random.nextDouble(MINIMUM_JITTER_FACTOR, MAXIMUM_JITTER_FACTOR))
        }
    }

    @Suppress("TooGenericExceptionCaught") // an exception of the handler must not end the reconnect loop
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
            val welcome = handshake(opened) ?: return false
            runConnection(opened, welcome)
            return true
        } finally {
            opened.close()
        }
    }

    private suspend fun runConnection(opened: MessageConnection, welcome: Welcome) {
        lastReceivedAt = clock.now()
        connection = opened
        var error: ProtocolError = ProtocolError.Closed("stopped")
        try {
            handler.onOpened(welcome)
            error = receiveUntilLost(opened)
        } finally {
            connection = null
            opened.close()
            log.info { "protocol: connection to $address lost: $error" }
            withContext(NonCancellable) { handler.onLost(error) }
        }
    }

    private suspend fun open(): MessageConnection? = try {
        withTimeoutOrNull(timings.connectTimeout) {
            val socket = aSocket(selectors).tcp().connect(InetSocketAddress(address.host, address.port)) {
                noDelay = true
            }
            MessageConnection(socket, scope)
        }
    } catch (failure: IOException) {
        log.debug { "protocol: could not connect to $address: ${failure.message}" }
        null
    }

    private suspend fun handshake(opened: MessageConnection): Welcome? {
        opened.trySend(handler.hello())
        val response = opened.receive(timings.handshakeTimeout).getOrElse {
            log.info { "protocol: handshake with $address failed: $it" }
            return null
        }
        return response as? Welcome
    }

    private suspend fun receiveUntilLost(opened: MessageConnection): ProtocolError = coroutineScope {
        val receiving = async { receiveLoop(opened) }
        val monitoring = async { monitorLoop(opened) }
        val error = select {
            receiving.onAwait { it }
            monitoring.onAwait { it }
        }
        coroutineContext.cancelChildren()
        error
    }

    private suspend fun receiveLoop(opened: MessageConnection): ProtocolError {
        while (true) {
            val message = opened.receive().getOrElse { return it }
            lastReceivedAt = clock.now()
            handler.onMessage(message)
        }
    }

    /** Sends heartbeats until no message arrives within the receive timeout. */
    private suspend fun monitorLoop(opened: MessageConnection): ProtocolError {
        val openedAt = clock.now()
        val monitor =
            ConnectionMonitor(openedAt, openedAt + handler.idleInterval * random.nextDouble(), timings.monitor)
        while (true) {
            // Set before isAwaitingResponse is read, so that a message sent after that read ends the wait below early.
            isIdle = true
            val step = monitor.step(handler.isAwaitingResponse, lastReceivedAt, handler.idleInterval, clock.now())
            isIdle = monitor.phase == ConnectionPhase.IDLE
            when (step.action) {
                ConnectionAction.SEND_HEARTBEAT -> opened.trySend(handler.heartbeat())
                ConnectionAction.CLOSE -> return ProtocolError.Silent
                null -> Unit
            }
            withTimeoutOrNull(step.nextAt - clock.now()) { sentSignal.receive() }
        }
    }

    private companion object {
        /** Each delay is multiplied by a random factor so that processes do not all reconnect at the same time. */
        const val MINIMUM_JITTER_FACTOR = 0.5
        const val MAXIMUM_JITTER_FACTOR = 1.5
    }
}
