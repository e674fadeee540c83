package org.bilberryhead.protocol

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.bilberryhead.core.message.Message
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration

/**
 * One TCP connection that carries length-prefixed messages both ways. Messages that are sent together are flushed
 * together.
 *
 * @param silenceLimit time without any message after which the connection counts as lost
 */
class MessageConnection(
    private val socket: Socket,
    private val scope: CoroutineScope,
    private val silenceLimit: Duration,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val outgoing = Channel<Message>(OUTGOING_CAPACITY)
    private val closed = AtomicBoolean(false)
    private val writer = scope.launch { writeLoop() }

    /** Whether [close] was called or the connection failed. */
    val isClosed: Boolean get() = closed.get()

    /**
     * Queues [message] for sending. False means that no byte of it was or will be written; true promises nothing
     * about its arrival.
     */
    fun trySend(message: Message): Boolean = !closed.get() && outgoing.trySend(message).isSuccess

    /** Waits for the next message; an error means that the connection is of no more use. */
    suspend fun receive(): Result<Message, ProtocolError> = try {
        withTimeoutOrNull(silenceLimit) { receiveOne() } ?: Err(ProtocolError.Silent)
    } catch (failure: CancellationException) {
        throw failure
    } catch (failure: IOException) {
        Err(ProtocolError.Closed(failure.message ?: "connection closed"))
    }

    /** Closes the connection; messages that are not yet written are dropped. */
    fun close() {
        if (!closed.compareAndSet(false, true)) return
        outgoing.close()
        writer.cancel()
        socket.close()
    }

    private suspend fun receiveOne(): Result<Message, ProtocolError> {
        val size = input.readInt()
        if (size !in 1..MessageCodec.MAXIMUM_MESSAGE_BYTES) return Err(ProtocolError.MessageTooLarge(size))
        return MessageCodec.decode(input.readByteArray(size))
    }

    private suspend fun writeLoop() {
        try {
            for (first in outgoing) {
                write(first)
                while (true) {
                    write(outgoing.tryReceive().getOrNull() ?: break)
                }
                output.flush()
            }
        } catch (_: IOException) {
            close()
        }
    }

    private suspend fun write(message: Message) {
        val bytes = MessageCodec.encode(message)
        output.writeInt(bytes.size)
        output.writeByteArray(bytes)
    }

    private companion object {
        /** Messages that may wait for the socket before the connection counts as unable to send. */
        const val OUTGOING_CAPACITY = 4096
    }
}
