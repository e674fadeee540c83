package org.bilberryhead.forwarding.request

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.memory.MemoryBudget
import org.bilberryhead.core.serving.EndpointDirectory
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.core.serving.EnginePlacement
import org.bilberryhead.core.serving.ResponseTimeWindow
import org.bilberryhead.core.serving.RetryLimits
import org.bilberryhead.core.serving.RouteMatcher
import org.bilberryhead.core.serving.SharedRetryBudget
import org.bilberryhead.daemon.MonotonicClock
import org.bilberryhead.daemon.newMeterRegistry
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.ForwardingMetrics
import org.bilberryhead.forwarding.LoopbackDeployment
import org.bilberryhead.forwarding.ScriptedEndpoint
import org.bilberryhead.forwarding.caller.CallerListener
import org.bilberryhead.forwarding.caller.CallerRequest
import org.bilberryhead.forwarding.caller.ResponseWriter
import org.bilberryhead.forwarding.coldEndpoints
import org.bilberryhead.forwarding.endpoint.Endpoints
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.RequestBody
import org.bilberryhead.forwarding.http.SingleExchange
import org.bilberryhead.forwarding.quarantine.QuarantineService
import org.bilberryhead.forwarding.store.StoreWriter
import org.bilberryhead.platform.wire.ConfigurationDecoder
import org.bilberryhead.platform.wire.WireHeaders
import java.util.concurrent.Callable
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A clock that throws once when [fails] is set. */
internal class FailingClock : Clock {
    private val clock = MonotonicClock()

    @Volatile
    var fails = false

    override fun now(): Instant {
        if (fails) {
            fails = false
            error("unexpected")
        }
        return clock.now()
    }
}

/**
 * The admission of an entry that knows the [scripted] endpoints as pool `p`.
 *
 * @param dataCentres data centres of the endpoints; `x`, that of the entry, for those that are not listed
 * @param hedgeRatio largest ratio of hedges to requests
 * @param memory budget of the entry for bodies and streams
 * @param retrySlack retries that are allowed beyond a ratio of the requests
 */
internal class AdmissionWithEndpoint(
    vararg scripted: ScriptedEndpoint,
    dataCentres: List<String> = emptyList(),
    hedgeRatio: Double = 0.0,
    retrySlack: Double = 50.0,
    memory: MemoryBudget = MemoryBudget(capacity = 1_000_000),
) : AutoCloseable {
    val clock = FailingClock()
    private val thread = EventThread(
        MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop,
        clock,
    )
    private val directory = EndpointDirectory()
    private val configuration = checkNotNull(ConfigurationDecoder.decode(LoopbackDeployment.CONFIGURATION))
    private val endpoints = Endpoints(
        thread,
        Connector(thread, WireHeaders.REQUEST_ID),
        directory,
        configuration.pools::get,
        entryCount = { 1 },
        cold = coldEndpoints(thread, directory, configuration.pools::get),
    )
    private val connector = Connector(thread, WireHeaders.REQUEST_ID)
    private val decisions = DecisionLog(linesPerSecond = 10, thread::now)
    private val registry = newMeterRegistry()
    private val metrics = ForwardingMetrics(registry)
    private val storeWriter = StoreWriter(SocketAddress("127.0.0.1", 1), SingleExchange(thread, connector))
    private val context = ServingContext(
        thread = thread,
        endpoints = endpoints,
        retryBudget = SharedRetryBudget(RetryLimits(ratio = 0.2, slack = retrySlack, window = 10.seconds)) { 1 },
        placement = EnginePlacement(DataCentre("x")),
        stageClient = { null },
        connectionWaitQueue = ConnectionWaitQueue(),
        quarantine = QuarantineService(DaemonId("entry"), thread, storeWriter, decisions, metrics, Random(1)),
        decisions = decisions,
        metrics = metrics,
        random = Random(1),
        memory = memory,
    ).also {
        it.matcher = RouteMatcher(configuration)
        it.hedging.ratio = hedgeRatio
    }
    private val admission = RequestAdmission(context)

    private val endpointEntries = scripted.mapIndexed { index, endpoint ->
        val (host, port) = endpoint.address.split(':')
        EndpointEntry(
            id = EndpointId("p-$index"),
            pool = PoolName("p"),
            address = SocketAddress(host, port.toInt()),
            dataCentre = DataCentre(dataCentres.getOrElse(index) { "x" }),
            slots = 4,
            isDraining = false,
            startedAt = 1,
        )
    }

    private val endpointEntry = endpointEntries.first()

    /** Share of recent exchanges of the first endpoint that failed. */
    val failureRate: Double
        get() = onThread { endpoints.getOrCreate(endpointEntry).load.currentFailureRate(thread.now()) }

    init {
        onThread { directory.update(endpointEntries, emptyList(), thread.now()) }
    }

    /** Makes the entry expect responses after [time], with enough requests in the past for [hedges] hedges. */
    fun expectResponsesAfter(time: Duration, hedges: Int) = onThread {
        val now = thread.now()
        repeat(ResponseTimeWindow.MINIMUM_SAMPLES) { context.hedging.recordResponseTime(PoolName("p"), time, now) }
        repeat(hedges * REQUESTS_PER_HEDGE) { context.hedging.countRequest(PoolName("p")) }
    }

    /** Number of hedges that ended with [outcome], or that were `sent`. */
    fun hedgeCount(outcome: String): Int =
        registry.find("bilberry.hedges").tag("outcome", outcome).counter()?.count()?.toInt() ?: 0

    /** Number of requests that were not hedged for [reason]. */
    fun notHedgedCount(reason: String): Int =
        registry.find("bilberry.hedges.not.allowed").tag("reason", reason).counter()?.count()?.toInt() ?: 0

    /** The first endpoint rests for [period] from now on. */
    fun rest(period: Duration) = onThread { endpoints.rests.record(endpointEntry.run, period, thread.now()) }

    /** Serves a request of [writer]; the clock fails at the next reading after [failsBefore] or [failsAfter]. */
    fun serve(
        writer: ResponseWriter,
        path: String = "/order/a",
        id: String = "r",
        failsBefore: Boolean = false,
        failsAfter: Boolean = false,
    ): CallerListener? = onThread {
        val request = CallerRequest(
            method = HttpMethod.GET,
            uri = path,
            headers = DefaultHttpHeaders().add("Host", "h").add("X-Api-Key", "k").add("X-Request-Id", id),
            body = RequestBody.of(ByteArray(0)),
            keepsConnection = true,
            receivedAt = thread.now(),
        )
        clock.fails = failsBefore
        val listener = runCatching { admission.serve(request, writer) }.getOrNull()
        clock.fails = failsAfter
        listener
    }

    /** Runs [block] on the thread of the entry. */
    fun <T> onThread(block: () -> T): T =
        if (thread.loop.inEventLoop()) block() else thread.loop.submit(Callable { block() }).get()

    override fun close() {
        thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private companion object {
        /** Earns slightly more than one hedge at the hedge ratio of the tests, 0.2. */
        const val REQUESTS_PER_HEDGE = 6
    }
}
