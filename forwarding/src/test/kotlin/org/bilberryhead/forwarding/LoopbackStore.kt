package org.bilberryhead.forwarding

import io.netty.handler.codec.http.FullHttpRequest
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.http.SimpleHttpResponse
import org.bilberryhead.forwarding.http.SimpleHttpServer
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.WireTables
import java.util.Base64
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Returns the rows by which the endpoints of [pools] register themselves, by key. */
internal fun endpointRows(pools: Map<String, List<ScriptedEndpoint>>): List<Pair<String, String>> =
    pools.flatMap { (pool, endpoints) ->
        endpoints.mapIndexed { index, endpoint ->
            "$pool-$index" to """{"service":"$pool","address":"${endpoint.address}","zone":"x","slots":4,""" +
                """"state":"ready","born":1}"""
        }
    }

/** Returns the rows of a store that holds [configuration] and the endpoints of [pools]. */
internal fun rowsOf(configuration: String, pools: Map<String, List<ScriptedEndpoint>>): Map<RowKey, String> =
    mapOf(RowKey(WireTables.OPERATOR, WireTables.CONFIGURATION_KEY) to configuration) +
        endpointRows(pools).associate { (key, value) -> RowKey(WireTables.ENDPOINTS, key) to value }

/**
 * A store on the loopback interface that holds one configuration and the endpoints of its pools.
 *
 * @param isReachable whether the store listens
 * @param responseTo returns the body of the response to a call; null for a store that holds the above
 */
internal class LoopbackStore(
    configuration: String?,
    pools: Map<String, List<ScriptedEndpoint>>,
    isReachable: Boolean = true,
    private val responseTo: ((uri: String) -> String)? = null,
) : AutoCloseable {
    private val thread = newEventThread()
    private val firstCalls = CountDownLatch(FIRST_CALLS)

    @Volatile
    private var version = 1

    @Volatile
    var configuration: String? = configuration
        private set

    @Volatile
    var pools: Map<String, List<ScriptedEndpoint>> = pools
        private set
    val address: SocketAddress = freeAddress()

    init {
        if (isReachable) SimpleHttpServer(thread, ::respond).listen(address)
    }

    fun awaitFirstCalls() = check(firstCalls.await(10, TimeUnit.SECONDS)) { "the entry did not read the store" }

    fun change(configuration: String?, pools: Map<String, List<ScriptedEndpoint>>) {
        this.configuration = configuration
        this.pools = pools
        version++
    }

    private fun respond(request: FullHttpRequest): SimpleHttpResponse {
        val uri = request.uri()
        responseTo?.let { return SimpleHttpResponse(OK, it(uri)) }
        val current = version
        val isKnown = KNOWN_VERSION.find(uri)?.groupValues?.get(1)?.toInt() == current
        return when {
            isKnown -> rows(emptyList(), current)
            "table=op" in uri ->
                rows(listOfNotNull(configuration?.let { "config" to it }), current).also { firstCalls.countDown() }

            "table=servers" in uri -> rows(endpointRows(pools), current).also { firstCalls.countDown() }
            else -> rows(emptyList(), current).also {
                // Without its lease and the other entries an entry has no share of the retries.
                if ("rows-tx" in uri || "table=${WireTables.ENTRIES}" in uri) firstCalls.countDown()
            }
        }
    }

    private fun rows(rows: List<Pair<String, String>>, version: Int): SimpleHttpResponse {
        val text = rows.joinToString(",") { (key, value) ->
            """{"key":"$key","value":"${Base64.getEncoder().encodeToString(
                value.encodeToByteArray(),
            )}","ver":$version}"""
        }
        return SimpleHttpResponse(OK, """{"rows":[$text],"truncated":false,"ver":$version}""")
    }

    override fun close() {
        thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private companion object {
        const val OK = 200

        /** Calls after which an entry can serve: two tables that routing needs, two for retries. */
        const val FIRST_CALLS = 4
        val KNOWN_VERSION = Regex("""[?&]after=(\d+)""")
    }
}
