package org.bilberryhead.forwarding.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioServerSocketChannel
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.memory.BodyAdmission
import org.bilberryhead.core.memory.MemoryBudget
import org.bilberryhead.forwarding.EventThread
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Accepts connections of callers.
 *
 * @param bodies decides which bodies of requests are read
 */
internal class CallerServer(
    private val thread: EventThread,
    private val state: CallerServerState,
    private val bodies: BodyAdmission = BodyAdmission(MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory())),
    private val handler: RequestHandler,
) {
    private val connections = mutableSetOf<CallerConnection>()
    private var listener: Channel? = null

    /** Whether a request is being read or served on any connection. */
    val isBusy: Boolean get() = connections.any { it.isBusy || it.isReading }

    /** Listens on [address]. Throws `IOException` when the address cannot be bound. */
    fun listen(address: SocketAddress) {
        listener = ServerBootstrap()
            .group(thread.loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) = initialize(channel)
                },
            )
            .bind(InetSocketAddress(address.host, address.port))
            .sync()
            .channel()
        thread.every(CHECK_INTERVAL) {
            bodies.admitWaiting()
            val now = thread.now()
            connections.toList().forEach { it.checkTimeouts(now) }
        }
    }

    /** Closes the connections on which no request is being read or served. */
    fun closeIdle() = connections.toList().forEach { it.closeIfIdle() }

    /**
     * Accepts no further connections, and no further requests on open ones. Calls [stopped] once the operating system
     * has closed the port, and callers have had time to read their last responses.
     */
    fun stop(stopped: () -> Unit) {
        listener?.close()
        connections.toList().forEach { it.stopReading() }
        closeIdle()
        awaitLastResponses(until = thread.now() + LONGEST_WAIT, stopped)
    }

    private fun awaitLastResponses(until: Instant, stopped: () -> Unit) {
        // A selector closes the socket of a cancelled key only in its next selection.
        thread.after(SELECTION_DELAY) {
            val isAnyBusy = connections.any { it.isBusy || it.isLingering }
            if (isAnyBusy && thread.now() < until) awaitLastResponses(until, stopped) else stopped()
        }
    }

    private fun initialize(channel: Channel) {
        val connection = CallerConnection(state, bodies, handler)
        connections += connection
        channel.closeFuture().addListener { connections -= connection }
        connection.addTo(channel.pipeline())
    }

    private companion object {
        const val BACKLOG = 1_024
        val CHECK_INTERVAL = 250.milliseconds
        val SELECTION_DELAY = 10.milliseconds

        /** Shorter than what is left of the drain limit when the server is stopped. */
        val LONGEST_WAIT = 200.milliseconds
    }
}
