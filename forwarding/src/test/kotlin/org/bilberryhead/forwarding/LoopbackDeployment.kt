package org.bilberryhead.forwarding

import com.github.michaelbull.result.Result
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.testing.FreePorts
import org.bilberryhead.core.testing.http.RawMessage
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import org.bilberryhead.daemon.MonotonicClock
import org.bilberryhead.daemon.SettingsError
import org.bilberryhead.daemon.newMeterRegistry
import org.bilberryhead.platform.testing.RowStoreServer
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.WireTables
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

internal const val HOST = "127.0.0.1"

internal fun freeAddress() = SocketAddress(HOST, FreePorts.next())

/** Starts an entry with one endpoint in pool `p` for each of [handlers], and closes them after [use]. */
internal fun <T> deploy(
    vararg handlers: ScriptedEndpoint.Exchange.() -> Unit,
    use: (LoopbackDeployment, List<ScriptedEndpoint>) -> T,
): T {
    val endpoints = handlers.map { ScriptedEndpoint(it) }
    try {
        return LoopbackDeployment(LoopbackDeployment.CONFIGURATION, mapOf("p" to endpoints)).use { use(it, endpoints) }
    } finally {
        endpoints.forEach { it.close() }
    }
}

/** Returns the handlers of two endpoints of which the one that is asked first plays [first], later ones [second]. */
internal fun firstThen(
    first: ScriptedEndpoint.Exchange.() -> Unit,
    second: ScriptedEndpoint.Exchange.() -> Unit,
): Array<ScriptedEndpoint.Exchange.() -> Unit> {
    val count = AtomicInteger()
    val handler: ScriptedEndpoint.Exchange.() -> Unit = { if (count.getAndIncrement() == 0) first() else second() }
    return arrayOf(handler, handler)
}

internal fun newEventThread(): EventThread =
    EventThread(MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop, MonotonicClock())

/**
 * An entry on the loopback interface with a store that holds [configuration] and the endpoints of [pools].
 *
 * @param pools the endpoints of each pool by the name of the pool
 * @param seeds addresses of other entries from which the entry reads the configuration and the endpoints
 * @param isStoreReachable whether the store listens
 * @param drainLimit longest time of a drain, in milliseconds
 * @param id id of the entry
 * @param sharedStore a store that several entries use, in place of one that only this entry uses
 * @param storeAddress address of a store that the test has started, in place of one of this deployment
 * @param storeResponse returns the body of the store's response to a call; null for a store that holds the above
 * @param retrySlack retries that the entry may send to a pool beyond a share of its requests
 */
internal class LoopbackDeployment(
    private val configuration: String?,
    pools: Map<String, List<ScriptedEndpoint>>,
    private val seeds: List<SocketAddress> = emptyList(),
    private val isStoreReachable: Boolean = true,
    drainLimit: Long = 8_000,
    id: String = "entry",
    sharedStore: RowStoreServer? = null,
    storeResponse: ((uri: String) -> String)? = null,
    retrySlack: Double = 50.0,
    storeAddress: SocketAddress? = null,
) : AutoCloseable {
    private val isOwnStoreUsed = isStoreReachable && sharedStore == null && storeAddress == null
    private val entryThread = newEventThread()
    private val store = LoopbackStore(configuration, pools, isReachable = isOwnStoreUsed, storeResponse)
    val settings = ForwardingSettings(
        id = DaemonId(id),
        dataCentre = DataCentre("x"),
        callers = freeAddress(),
        readiness = freeAddress(),
        peers = freeAddress(),
        metrics = freeAddress(),
        seeds = seeds,
        store = storeAddress ?: sharedStore?.address ?: store.address,
        drainLimit = drainLimit.milliseconds,
        retrySlack = retrySlack,
    )
    private val registry = newMeterRegistry()
    private val daemon = ForwardingDaemon(settings, entryThread, ForwardingMetrics(registry), Random(1))

    init {
        sharedStore?.let { writeTables(it, pools) }
        RecordedDecisions().use { decisions ->
            daemon.start()
            if (isOwnStoreUsed && storeResponse == null) awaitStoreResponses(decisions)
        }
        // The entry applies the rows on its own thread, possibly after the latch has opened.
        awaitReady()
    }

    private fun awaitStoreResponses(decisions: RecordedDecisions) {
        store.awaitFirstCalls()
        // Until it is registered, an entry has no share of the retries.
        val isRegistered = { decisions.of("entry registered").any { it["entry"] == settings.id.value } }
        repeat(MAXIMUM_REGISTRATION_CHECKS) { if (!isRegistered()) TimeUnit.MILLISECONDS.sleep(2) }
        check(isRegistered()) { "the entry is not registered" }
    }

    private fun awaitReady() {
        repeat(MAXIMUM_READINESS_CHECKS) {
            if (isReady() || (configuration == null && isStoreReachable)) return
            TimeUnit.MILLISECONDS.sleep(20)
        }
    }

    /** Returns whether the entry reports to the load balancer that it is ready. */
    fun isReady(): Boolean = Socket(HOST, settings.readiness.port).use {
        it.getOutputStream().writeText("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        " 200 " in it.getInputStream().readMessage()?.head.orEmpty()
    }

    /** Number of exceptions that the entry did not expect. */
    val failureCount: Long get() = entryThread.failureCount

    /** Number of endpoints that are cold, as far as the entry knows. */
    fun coldCount(): Int = registry.find("bilberry.endpoints.cold").gauge()?.value()?.toInt() ?: 0

    /** Number of reports of the entry on crashes of endpoints. */
    val crashReportCount: Int get() = registry.find("bilberry.endpoint.crashes").counter()?.count()?.toInt() ?: 0

    /** Reloads the entry with [read], the result of reading its settings file again. */
    fun reload(read: Result<ForwardingSettings, List<SettingsError>>) = daemon.reload(read)

    /** Starts to drain the entry; the returned latch opens when it has stopped. */
    fun drain(): CountDownLatch = CountDownLatch(1).also { ended -> daemon.drain { ended.countDown() } }

    /** Waits until the entry is no longer ready, which it is before the drain that [drain] has asked for starts. */
    fun awaitDraining() {
        val isDraining = generateSequence { isReady() }.take(MAXIMUM_READINESS_CHECKS).any { !it }
        check(isDraining) { "still ready" }
    }

    private fun writeTables(shared: RowStoreServer, pools: Map<String, List<ScriptedEndpoint>>) {
        configuration?.let { shared.rows.put(RowKey(WireTables.OPERATOR, WireTables.CONFIGURATION_KEY), it) }
        endpointRows(pools).forEach { (key, value) -> shared.rows.put(RowKey(WireTables.ENDPOINTS, key), value) }
    }

    /** Changes the configuration and the endpoints of the pools in the store. */
    fun change(configuration: String? = store.configuration, pools: Map<String, List<ScriptedEndpoint>> = store.pools) =
        store.change(configuration, pools)

    /** Opens a connection as a caller. */
    fun connect() = Socket(HOST, settings.callers.port).apply { soTimeout = 10_000 }

    /**
     * Sends [text] on a connection of its own and returns the response, or null when the connection ended without one.
     */
    fun send(text: String): RawMessage? = connect().use {
        it.getOutputStream().writeText(text)
        it.getInputStream().readMessage()
    }

    fun get(path: String, id: String = "r1", headers: String = ""): RawMessage? = send(
        "GET $path HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\nX-Api-Key: k\r\nX-Deadline-Ms: 5000\r\n$headers\r\n",
    )

    override fun close() {
        entryThread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
        store.close()
    }

    companion object {
        private const val MAXIMUM_READINESS_CHECKS = 500
        private const val MAXIMUM_REGISTRATION_CHECKS = 5_000

        /** One route of each kind and one client account. Calls of stages have a long timeout. */
        val CONFIGURATION = """
            {"version":1,"routes":[
             {"name":"lookup","host":"h","prefix":"/lookup/","route_type":"idempotent","timeout_ms":3000,"service":"p",
              "max_attempts":2},
             {"name":"order","host":"h","prefix":"/order/","route_type":"non_idempotent","timeout_ms":3000,"service":"p",
              "max_attempts":2},
             {"name":"stream","host":"h","prefix":"/stream/","route_type":"streaming","timeout_ms":5000,"service":"p",
              "max_attempts":2},
             {"name":"resume","host":"h","prefix":"/resume/","route_type":"streaming","resumable":true,
              "timeout_ms":5000,"service":"p","max_attempts":2},
             {"name":"long","host":"h","prefix":"/long/","route_type":"non_idempotent","timeout_ms":30000,"service":"p"},
             {"name":"narrow","host":"h","prefix":"/narrow/","route_type":"non_idempotent","timeout_ms":30000,"service":"n"},
             {"name":"staged","host":"h","prefix":"/staged/","route_type":"streaming","timeout_ms":30000,"service":"p",
              "stages":[{"service":"s","after":[],"bytes":10},{"service":"s","after":[0],"bytes":10}]},
             {"name":"resume-staged","host":"h","prefix":"/resume-staged/","route_type":"streaming","resumable":true,
              "timeout_ms":5000,"service":"p","max_attempts":2,"stages":[{"service":"s","after":[],"bytes":10}]}],
             "services":[{"name":"p","max_conns":40},{"name":"n","max_conns":1},{"name":"s","max_conns":40,"pieces":{"slots":1,"queue":2,
              "batch":4,"call_ms":1000,"item_ms":1,"headroom_mb":10,"handle_s":4}}],
             "limits":{"max_header_bytes":2000,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
             "tenants":[{"name":"office","api_keys":["k"]}]}
        """.trimIndent()
    }
}
