package org.bilberryhead.daemon

import io.ktor.server.application.Application
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.netty.handler.ssl.SslContext
import org.bilberryhead.core.common.SocketAddress

/**
 * Returns a server for [address], not yet started.
 *
 * @param tls certificate and key for new connections; null to serve without TLS
 */
fun httpServer(
    address: SocketAddress,
    tls: ReloadedValue<SslContext>? = null,
    module: Application.() -> Unit,
): EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> = embeddedServer(
    factory = Netty,
    configure = {
        connector {
            host = address.host
            port = address.port
        }
        if (tls != null) {
            // Ktor's TLS connector reads its key store only once; a handler per connection uses the current key.
            channelPipelineConfig = { addFirst("tls", tls.current.newHandler(channel().alloc())) }
        }
    },
    module = module,
)
