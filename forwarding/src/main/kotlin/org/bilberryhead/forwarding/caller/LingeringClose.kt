package org.bilberryhead.forwarding.caller

import io.netty.channel.Channel
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.FullHttpResponse
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Ends a connection on which the caller may still be sending a request that is rejected. A close with unread bytes
 * would reset the connection, and the caller would lose the response. So this side only stops to send, and what arrives
 * is dropped until the caller closes.
 */
internal class LingeringClose(private val channel: () -> Channel, private val now: () -> Instant) {
    private var startedAt: Instant? = null
    private var droppedBytes = 0L

    /** Whether the connection waits for the caller to close it. */
    val isInProgress: Boolean get() = startedAt != null && channel().isOpen

    /** Sends [response], the last one on the connection, and ends the connection once it is sent. */
    fun closeAfter(response: FullHttpResponse) {
        channel().writeAndFlush(response).addListener { stopSending() }
    }

    private fun stopSending() {
        val duplexChannel = channel() as? DuplexChannel
        if (duplexChannel == null || !duplexChannel.isActive) {
            channel().close()
            return
        }
        startedAt = now()
        duplexChannel.shutdownOutput()
        duplexChannel.config().isAutoRead = true
    }

    /** Counts [bytes] of a body that were dropped. */
    fun countDropped(bytes: Int) {
        if (startedAt != null) droppedBytes += bytes
    }

    /**
     * Closes the connection at [at] if the caller has not done so in time. To be called at intervals.
     *
     * @param longestBody a caller that has sent more is not about to end a body that was allowed
     */
    fun closeIfOver(at: Instant, longestBody: Int) {
        val elapsed = at - (startedAt ?: return)
        val longestWait = if (droppedBytes > longestBody) LONGEST_WAIT else LONGEST_WAIT_OF_SLOW_CALLER
        if (elapsed >= longestWait) channel().close()
    }

    private companion object {
        /** Time for a caller that sends for ever to read the response. */
        val LONGEST_WAIT = 2.seconds

        /** Time for the rest of a large body to arrive from a caller that reads only after it. */
        val LONGEST_WAIT_OF_SLOW_CALLER = 12.seconds
    }
}
