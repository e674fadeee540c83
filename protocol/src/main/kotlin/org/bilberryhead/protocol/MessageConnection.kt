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
 * One TCP connection that carries length-prefixed messages both ways. Messages that are sent together are flushed
 * together. Safe for use by several threads, but for [receive], which one coroutine calls.
 */
class MessageConnection(private val socket: Socket, scope: CoroutineScope) {
    private val input = socket.openReadChannel()
    private val output = ByteChannel(autoFlush = false)
    private val socketWriter = socket.attachForWriting(output)
    private val outgoing = Channel<ByteArray>(OUTGOING_MESSAGES)
    private val outgoingBytes = AtomicLong()
    private val closed = AtomicBoolean(false)
    private val closedSignal = Job()
    private val writer = scope.launch { writeLoop() }

    /** Whether [close] was called or the connection failed. */
    val isClosed: Boolean get() = closed.get()

    /**
     * Queues [message] for sending and returns at once. False means that no byte of it was or will be written: the
     * connection is closed, its queue is full, or the message is too large. True promises nothing about its arrival.
     */
    fun trySend(message: Message): Boolean {
        if (closed.get()) return false
        val bytes = MessageCodec.encode(message)
        if (bytes.size > MessageCodec.MAXIMUM_MESSAGE_BYTES) {
            log.warn { "protocol: a ${message::class.simpleName} of ${bytes.size} bytes is too large to send" }
            return false
        }
        if (outgoingBytes.get() > OUTGOING_BYTES) return false
        outgoingBytes.addAndGet(bytes.size.toLong())
        val isQueued = outgoing.trySend(bytes).isSuccess
        if (!isQueued) outgoingBytes.addAndGet(-bytes.size.toLong())
        return isQueued
    }

    /**
     * Waits for the next message; an error means that the connection is of no more use.
     *
     * @param limit time without a message after which the connection counts as silent
     * @param maximumBytes largest message that is accepted
     */
    suspend fun receive(
        limit: Duration = Duration.INFINITE,
        maximumBytes: Int = MessageCodec.MAXIMUM_MESSAGE_BYTES,
    ): Result<Message, ProtocolError> = try {
        withTimeoutOrNull(limit) { receiveOne(maximumBytes) } ?: Err(ProtocolError.Silent)
    } catch (failure: CancellationException) {
        throw failure
    } catch (failure: IOException) {
        Err(ProtocolError.Closed(failure.message ?: "connection closed"))
    }

    /** Writes what is queued, lets the peer read it and close, and closes the connection within [limit]. */
    suspend fun finish(limit: Duration) {
        outgoing.close()
        withTimeoutOrNull(limit) {
            writer.join()
            output.flushAndClose()
            closedSignal.join()
        }
        close()
    }

    /** Closes the connection at once; messages that are not yet written are dropped. */
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
        outgoingBytes.addAndGet(-bytes.size.toLong())
        output.writeInt(bytes.size)
        output.writeByteArray(bytes)
    }

    private companion object {
        /** Messages that may wait for the socket before the connection counts as unable to send. */
        const val OUTGOING_MESSAGES = 4096

        /** Bytes that may wait for the socket before the connection counts as unable to send. */
        const val OUTGOING_BYTES = 16L * 1024 * 1024
    }
}
