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

/** What a daemon does with a connection that it keeps open to another process. Called from one coroutine. */
interface MessageClientHandler {
    /** Returns the hello to open a connection with. */
    fun hello(): Hello

    /** Returns the heartbeat to send now. */
    fun heartbeat(): Heartbeat

    /** Whether something that was sent waits for an answer, so that silence matters. Must return at once. */
    val isAwaitingResponse: Boolean

    /** Time between two heartbeats while nothing is awaited. */
    val idleInterval: Duration

    /** The other process has answered the hello. */
    suspend fun onOpened(welcome: Welcome)

    /** A message other than the welcome arrived. */
    suspend fun onMessage(message: Message)

    /** An open connection is lost; another try follows. */
    suspend fun onLost(error: ProtocolError)
}

/** Keeps one connection open to the process at [address], and opens a new one whenever it is lost. */
class MessageClient(
    private val address: SocketAddress,
    private val handler: MessageClientHandler,
    private val selectors: SelectorManager,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val timings: ProtocolTimings = ProtocolTimings(),
    private val random: Random = Random.Default,
) {
    private val workSent = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var connection: MessageConnection? = null

    @Volatile
    private var isIdle = true

    @Volatile
    private var heardAt = clock.now()
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
    fun trySend(message: Message): Boolean {
        val isQueued = connection?.trySend(message) ?: false
        if (isQueued && isIdle) workSent.trySend(Unit)
        return isQueued
    }

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

    private suspend fun serve(opened: MessageConnection, welcome: Welcome) {
        heardAt = clock.now()
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
                noDelay =
                    true
            }
            MessageConnection(socket, scope)
        }
    } catch (failure: IOException) {
        log.debug { "protocol: no connection to $address: ${failure.message}" }
        null
    }

    private suspend fun greet(opened: MessageConnection): Welcome? {
        opened.trySend(handler.hello())
        val answer = opened.receive(timings.helloLimit).getOrElse {
            log.info { "protocol: no welcome from $address: $it" }
            return null
        }
        return answer as? Welcome
    }

    private suspend fun receiveUntilLost(opened: MessageConnection): ProtocolError = coroutineScope {
        val receiving = async { receiveLoop(opened) }
        val watching = async { watchLoop(opened) }
        val error = select {
            receiving.onAwait { it }
            watching.onAwait { it }
        }
        coroutineContext.cancelChildren()
        error
    }

    private suspend fun receiveLoop(opened: MessageConnection): ProtocolError {
        while (true) {
            val message = opened.receive().getOrElse { return it }
            heardAt = clock.now()
            handler.onMessage(message)
        }
    }

    /** Sends heartbeats until the connection goes silent. */
    private suspend fun watchLoop(opened: MessageConnection): ProtocolError {
        val openedAt = clock.now()
        val watch = ConnectionMonitor(openedAt, openedAt + handler.idleInterval * random.nextDouble(), timings.watch)
        while (true) {
            // Set before the handler is asked: work that is sent from here on wakes this loop.
            isIdle = true
            val step = watch.step(handler.isAwaitingResponse, heardAt, handler.idleInterval, clock.now())
            isIdle = watch.phase == ConnectionPhase.IDLE
            when (step.action) {
                ConnectionAction.SEND_HEARTBEAT -> opened.trySend(handler.heartbeat())
                ConnectionAction.CLOSE -> return ProtocolError.Silent
                null -> Unit
            }
            withTimeoutOrNull(step.nextAt - clock.now()) { workSent.receive() }
        }
    }

    private companion object {
        /** A pause is multiplied by a random factor, so that many processes do not reconnect at the same moment. */
        const val LEAST_JITTER = 0.5
        const val MOST_JITTER = 1.5
    }
}
