package org.bilberryhead.forwarding.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.EventThread
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.milliseconds

/** Listens for callers. */
internal class CallerServer(
    private val thread: EventThread,
    private val state: CallerServerState,
    private val handler: RequestHandler,
) {
    private val connections = mutableSetOf<CallerConnection>()
    private var listener: Channel? = null

    /** Whether a request is being served on any connection. */
    val isBusy: Boolean get() = connections.any { it.isBusy }

    /** Listens on [address]. Throws `IOException` when it can not. */
    fun listen(address: SocketAddress) {
        listener = ServerBootstrap()
            .group(thread.loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) = prepare(channel)
                },
            )
            .bind(InetSocketAddress(address.host, address.port))
            .sync()
            .channel()
        thread.every(CHECK_INTERVAL) {
            val now = thread.now()
            connections.toList().forEach { it.checkTime(now) }
        }
    }

    /** Closes the connections on which nothing is being read or served. */
    fun closeIdle() = connections.toList().forEach { it.closeIfIdle() }

    /** Takes nothing any more: neither connections nor, on those that are open, requests. */
    fun stop() {
        listener?.close()
        connections.forEach { it.stopReading() }
        closeIdle()
    }

    private fun prepare(channel: Channel) {
        val connection = CallerConnection(state, handler)
        connections += connection
        channel.closeFuture().addListener { connections -= connection }
        channel.pipeline()
            .addLast(HeadTimer(connection))
            .addLast(StrictRequestDecoder(state.limits.headerBytes))
            .addLast(HttpResponseEncoder())
            .addLast(connection)
    }

    /** Notes when the first byte of a request arrives. */
    private inner class HeadTimer(private val connection: CallerConnection) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is ByteBuf && message.isReadable && !connection.isReading) connection.headBegins(thread.now())
            super.channelRead(context, message)
        }
    }

    private companion object {
        const val BACKLOG = 1_024
        val CHECK_INTERVAL = 250.milliseconds
    }
}
