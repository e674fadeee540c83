package org.bilberryhead.protocol

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.bilberryhead.core.message.Message
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

private val log = KotlinLogging.logger("protocol")

/**
 * A TCP connection that carries length-prefixed messages in both directions. Messages that are queued together are
 * flushed together. Thread-safe, except that only one coroutine may call [receive].
 */
class MessageConnection(private val socket: Socket, scope: CoroutineScope) {
    private val input = socket.openReadChannel()
    private val output = ByteChannel(autoFlush = false)
    private val socketWriter = socket.attachForWriting(output)
    private val outgoing = Channel<ByteArray>(MAXIMUM_QUEUED_MESSAGES)
    private val queuedBytes = AtomicLong()
    private val closed = AtomicBoolean(false)
    private val closedSignal = Job()
    private val writer = scope.launch { writeLoop() }

    /** Whether [close] was called or the connection failed. */
    val isClosed: Boolean get() = closed.get()

    /**
     * Queues [message] for sending and returns immediately. False means that no byte of it was or will be written,
     * because the connection is closed, its queue is full, or the message is too large. True does not mean that the
     * message will arrive.
     */
    fun trySend(message: Message): Boolean {
        if (closed.get()) return false
        val bytes = MessageCodec.encode(message)
        if (bytes.size > MessageCodec.MAXIMUM_MESSAGE_BYTES) {
            log.warn { "protocol: a ${message::class.simpleName} of ${bytes.size} bytes is too large to send" }
            return false
        }
        if (queuedBytes.get() > MAXIMUM_QUEUED_BYTES) return false
        queuedBytes.addAndGet(bytes.size.toLong())
        val isQueued = outgoing.trySend(bytes).isSuccess
        if (!isQueued) queuedBytes.addAndGet(-bytes.size.toLong())
        return isQueued
    }

    /**
     * Waits for the next message. After an error the connection can no longer be used.
     *
     * @param timeout time without a message after which [ProtocolError.Silent] is returned
     * @param maximumBytes maximum size of the encoded message
     */
    suspend fun receive(
        timeout: Duration = Duration.INFINITE,
        maximumBytes: Int = MessageCodec.MAXIMUM_MESSAGE_BYTES,
    ): Result<Message, ProtocolError> = try {
        withTimeoutOrNull(timeout) { receiveOne(maximumBytes) } ?: Err(ProtocolError.Silent)
    } catch (failure: CancellationException) {
        throw failure
    } catch (failure: IOException) {
        Err(ProtocolError.Closed(failure.message ?: "connection closed"))
    }

    /**
     * Writes the queued messages, waits until the peer has closed its end, and closes the connection. Closes it anyway
     * once [timeout] has passed.
     */
    suspend fun closeGracefully(timeout: Duration) {
        outgoing.close()
        withTimeoutOrNull(timeout) {
            writer.join()
            output.flushAndClose()
            closedSignal.join()
        }
        close()
    }

    /** Closes the connection immediately and drops messages that are not yet written. */
    fun close() {
        if (!closed.compareAndSet(false, true)) return
        outgoing.close()
        writer.cancel()
        output.cancel(IOException("connection closed"))
        socketWriter.job.cancel()
        socket.close()
        closedSignal.complete()
    }

    private suspend fun receiveOne(maximumBytes: Int): Result<Message, ProtocolError> {
        val size = input.readInt()
        if (size !in 1..maximumBytes) return Err(ProtocolError.MessageTooLarge(size))
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

    private suspend fun write(bytes: ByteArray) {
        queuedBytes.addAndGet(-bytes.size.toLong())
        output.writeInt(bytes.size)
        output.writeByteArray(bytes)
    }

    private companion object {
        /** Number of messages that may be queued; [trySend] returns false beyond it. */
        const val MAXIMUM_QUEUED_MESSAGES = 4096

        /** Size of the queued messages above which [trySend] returns false. */
        const val MAXIMUM_QUEUED_BYTES = 16L * 1024 * 1024
    }
}
