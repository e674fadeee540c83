package org.bilberryhead.forwarding.request

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
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
import org.bilberryhead.forwarding.caller.CallerRequest
import org.bilberryhead.forwarding.caller.ResponseWriter
import org.bilberryhead.forwarding.endpoint.Endpoints
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.RequestBody
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.http.SingleExchange
import org.bilberryhead.forwarding.quarantine.QuarantineService
import org.bilberryhead.forwarding.store.StoreWriter
import org.bilberryhead.platform.wire.ConfigurationDecoder
import org.bilberryhead.platform.wire.WireHeaders
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A clock that throws once when [fails] is set. */
private class FailingClock : Clock {
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

private class RecordingWriter : ResponseWriter {
    val response = CompletableFuture<FullResponse?>()
    override val isOpen: Boolean get() = !response.isDone
    override val isCongested = false

    override fun send(response: FullResponse) {
        this.response.complete(response)
    }

    override fun start(head: ResponseHead) = Unit

    override fun write(bytes: ByteArray) = Unit

    override fun finish() = Unit

    override fun abort() {
        response.complete(null)
    }

    /** The status of the response, or null when none comes in time. */
    fun statusWithin(milliseconds: Long): Int? = try {
        response.get(milliseconds, TimeUnit.MILLISECONDS)?.head?.status
    } catch (_: TimeoutException) {
        // The caller would wait on.
        null
    }
}

/** The admission of an entry that knows one endpoint of pool `p`. */
private class AdmissionWithEndpoint(endpoint: ScriptedEndpoint) : AutoCloseable {
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
    )
    private val connector = Connector(thread, WireHeaders.REQUEST_ID)
    private val decisions = DecisionLog(linesPerSecond = 10, thread::now)
    private val metrics = ForwardingMetrics(newMeterRegistry())
    private val storeWriter = StoreWriter(SocketAddress("127.0.0.1", 1), SingleExchange(thread, connector))
    private val context = ServingContext(
        thread = thread,
        endpoints = endpoints,
        retryBudget = SharedRetryBudget(RetryLimits(ratio = 0.2, slack = 50.0, window = 10.seconds)) { 1 },
        placement = EnginePlacement(DataCentre("x")),
        stageClient = { null },
        connectionWaitQueue = ConnectionWaitQueue(),
        quarantine = QuarantineService(DaemonId("entry"), thread, storeWriter, decisions, metrics, Random(1)),
        decisions = decisions,
        metrics = metrics,
        random = Random(1),
        memory = MemoryBudget(capacity = 1_000_000),
    ).also { it.matcher = RouteMatcher(configuration) }
    private val admission = RequestAdmission(context)

    init {
        val (host, port) = endpoint.address.split(':')
        val entry = EndpointEntry(
            id = EndpointId("p-0"),
            pool = PoolName("p"),
            address = SocketAddress(host, port.toInt()),
            dataCentre = DataCentre("x"),
            slots = 4,
            isDraining = false,
            startedAt = 1,
        )
        onThread { directory.update(listOf(entry), emptyList(), thread.now()) }
    }

    /** Serves a request; the clock fails at the next reading after [failsBefore] or [failsAfter]. */
    fun serve(failsBefore: Boolean = false, failsAfter: Boolean = false): RecordingWriter {
        val writer = RecordingWriter()
        onThread {
            val request = CallerRequest(
                method = HttpMethod.GET,
                uri = "/order/a",
                headers = DefaultHttpHeaders().add("Host", "h").add("X-Api-Key", "k").add("X-Request-Id", "r"),
                body = RequestBody.of(ByteArray(0)),
                keepsConnection = true,
                receivedAt = thread.now(),
            )
            clock.fails = failsBefore
            runCatching { admission.serve(request, writer) }
            clock.fails = failsAfter
        }
        return writer
    }

    private fun onThread(block: () -> Unit) = thread.loop.submit(block).get()

    override fun close() {
        thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

class UnexpectedFailureTest :
    DescribeSpec({
        describe("an exception that was not expected") {
            it("before a request is started ends it as not run") {
                ScriptedEndpoint { respond() }.use { endpoint ->
                    AdmissionWithEndpoint(endpoint).use { entry ->
                        entry.serve(failsBefore = true).statusWithin(1_000) shouldBe 503
                        endpoint.requests.shouldBeEmpty()
                    }
                }
            }

            it("when the connection to its endpoint has opened ends a request at once as unknown") {
                ScriptedEndpoint { respond() }.use { endpoint ->
                    AdmissionWithEndpoint(endpoint).use { entry ->
                        entry.serve(failsAfter = true).statusWithin(1_000) shouldBe 502
                    }
                }
            }

            it("at the deadline of a request does not leave it without an answer") {
                ScriptedEndpoint { awaitClose() }.use { endpoint ->
                    AdmissionWithEndpoint(endpoint).use { entry ->
                        val writer = entry.serve()
                        endpoint.awaitRequest()
                        entry.clock.fails = true
                        writer.statusWithin(5_000) shouldBe 502
                    }
                }
            }
        }
    })
