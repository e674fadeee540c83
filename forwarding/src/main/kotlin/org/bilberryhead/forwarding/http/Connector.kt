package org.bilberryhead.forwarding.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import jdk.net.ExtendedSocketOptions
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.memory.MemoryBudget
import org.bilberryhead.forwarding.EventThread
import java.net.ConnectException
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Why a connection could not be opened.
 *
 * @property isRefused whether the other VM answered that no process listens on the address
 */
internal class ConnectFailure(val reason: String, val isRefused: Boolean)

/**
 * Opens connections to other processes.
 *
 * @property memory the memory that responses on the connections may hold until they are complete
 */
internal class Connector(
    private val thread: EventThread,
    private val requestIdHeader: String,
    val memory: MemoryBudget = MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory()),
) {
    /** Opens a connection to [address]. Calls [opened] with it, or [failed] with the reason. */
    fun open(
        address: SocketAddress,
        timeout: Duration = CONNECT_TIMEOUT,
        opened: (OutboundConnection) -> Unit,
        failed: (ConnectFailure) -> Unit,
    ) {
        val connection = OutboundConnection(requestIdHeader, thread::now) {
            thread.recordFailure(it, "reading from $address")
        }
        val connectFuture = bootstrap(timeout, connection).connect(InetSocketAddress(address.host, address.port))
        connectFuture.addListener {
            if (it.isSuccess) opened(connection) else failed(failureOf(it.cause()))
        }
    }

    private fun failureOf(cause: Throwable?) = ConnectFailure(
        reason = cause?.message ?: "can not connect",
        isRefused = cause is ConnectException && cause !is ConnectTimeoutException,
    )

    private fun bootstrap(timeout: Duration, connection: OutboundConnection): Bootstrap = Bootstrap()
        .group(thread.loop)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.inWholeMilliseconds.toInt())
        .handler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    connection.addTo(channel.pipeline())
                }
            },
        )

    private companion object {
        val CONNECT_TIMEOUT = 700.milliseconds

        /** With [KEEP_ALIVE_PROBES], detects a dead peer within three seconds; the options take whole seconds only. */
        const val KEEP_ALIVE_SECONDS = 1
        const val KEEP_ALIVE_PROBES = 2
    }
}
