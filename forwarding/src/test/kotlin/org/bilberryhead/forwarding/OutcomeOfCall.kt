package org.bilberryhead.forwarding

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.ExchangeOutcome
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.forwarding.http.SingleExchange
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Returns the outcome of a call to [server] as it is made to the store, to peers and to endpoints of stages. */
internal fun outcomeOfCall(
    thread: EventThread,
    server: ScriptedEndpoint,
    id: String = "r1",
    timeout: Duration = 10.seconds,
): ExchangeOutcome {
    val address = SocketAddress(HOST, server.address.substringAfter(':').toInt())
    val headers = DefaultHttpHeaders().add("Host", "h").add("X-Request-Id", id)
    val request = OutboundRequest(HttpMethod.GET, "/a", headers, ByteArray(0))
    val outcome = CompletableFuture<ExchangeOutcome>()
    thread.loop.execute {
        SingleExchange(thread, Connector(thread, "X-Request-Id")).send(address, request, timeout) {
            outcome.complete(it)
        }
    }
    return outcome.get(2 * timeout.inWholeSeconds, TimeUnit.SECONDS)
}
