package org.bilberryhead.forwarding.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.EventThread
import java.io.IOException
import java.net.InetSocketAddress

/** A response of a [SimpleHttpServer]. */
internal class SimpleHttpResponse(
    val status: Int,
    val body: String = "",
    val contentType: String = "text/plain",
    val headers: Map<String, String> = emptyMap(),
)

/** Serves small HTTP requests that are answered immediately, such as readiness checks and metrics. */
internal class SimpleHttpServer(
    private val thread: EventThread,
    private val respond: (request: FullHttpRequest) -> SimpleHttpResponse,
) {
    /** Listens on [address]. Throws `IOException` when the address cannot be bound. */
    fun listen(address: SocketAddress): Channel = ServerBootstrap()
        .group(thread.loop)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline()
                        .addLast(HttpServerCodec())
                        .addLast(HttpObjectAggregator(MAXIMUM_REQUEST_BYTES))
                        .addLast(Handler())
                }
            },
        )
        .bind(InetSocketAddress(address.host, address.port))
        .sync()
        .channel()

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val response = respond(request)
            val message = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status),
                Unpooled.wrappedBuffer(response.body.encodeToByteArray()),
            )
            message.headers().set("Content-Type", response.contentType)
            response.headers.forEach { (name, value) -> message.headers().set(name, value) }
            HttpUtil.setContentLength(message, message.content().readableBytes().toLong())
            val keepAlive = HttpUtil.isKeepAlive(request)
            HttpUtil.setKeepAlive(message, keepAlive)
            val written = context.writeAndFlush(message)
            if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
        }

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            if (cause !is IOException && cause !is DecoderException) thread.recordFailure(cause, "a small request")
            context.close()
        }
    }

    private companion object {
        const val MAXIMUM_REQUEST_BYTES = 65_536
    }
}
