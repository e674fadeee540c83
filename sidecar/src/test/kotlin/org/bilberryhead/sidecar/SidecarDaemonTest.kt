package org.bilberryhead.sidecar

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.network.selector.SelectorManager
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeout
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.AttemptOutcome
import org.bilberryhead.core.message.Frame
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.Leaving
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.OutcomeReport
import org.bilberryhead.core.message.Query
import org.bilberryhead.core.message.QueryOutcome
import org.bilberryhead.core.message.RefusalReason
import org.bilberryhead.core.message.Refused
import org.bilberryhead.core.message.Running
import org.bilberryhead.core.message.Welcome
import org.bilberryhead.daemon.MonotonicClock
import org.bilberryhead.protocol.MessageClient
import org.bilberryhead.protocol.MessageClientHandler
import org.bilberryhead.protocol.MessageCodec
import org.bilberryhead.protocol.ProtocolError
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val anyLoopbackPort = SocketAddress("127.0.0.1", 0)

/** The entry's end of a connection to a sidecar. */
private class TestEntry(address: SocketAddress, selectors: SelectorManager, scope: CoroutineScope) :
    MessageClientHandler {
    val opened = Channel<Welcome>(Channel.UNLIMITED)
    val messages = Channel<Message>(Channel.UNLIMITED)
    val client = MessageClient(address, this, selectors, scope, MonotonicClock()).also { it.start() }

    override fun hello() = Hello(MessageCodec.PROTOCOL_VERSION, DaemonId("entry-1"), TableVersion.NONE)

    override fun heartbeat() = Heartbeat(TableVersion.NONE)

    override val isAwaitingResponse get() = false

    override val idleInterval get() = 500.milliseconds

    override suspend fun onOpened(welcome: Welcome) = opened.send(welcome)

    override suspend fun onMessage(message: Message) {
        if (message !is Heartbeat) messages.send(message)
    }

    override suspend fun onLost(error: ProtocolError) = Unit

    suspend fun next(): Message = withTimeout(15.seconds) { messages.receive() }

    suspend fun awaitOpen(): Welcome = withTimeout(15.seconds) { opened.receive() }
}

private fun query(attempt: String): Query {
    val dispatch = testDispatch(attempt)
    return Query(dispatch.attempt, TEST_INCARNATION, 0, dispatch.request, dispatch.clientAccount, dispatch.fingerprint)
}

class SidecarDaemonTest :
    DescribeSpec({
        lateinit var scope: CoroutineScope
        lateinit var selectors: SelectorManager
        lateinit var endpoint: ScriptedEndpoint
        lateinit var daemon: SidecarDaemon
        lateinit var release: CountDownLatch
        lateinit var callStarted: Channel<Unit>

        fun settings() = SidecarSettings(
            endpoint = EndpointId("record-0"),
            dataCentre = DataCentre("nashua"),
            listen = anyLoopbackPort,
            operations = anyLoopbackPort,
            endpointUrl = endpoint.url,
            platformUrl = "http://127.0.0.1:1",
        )

        fun newDaemon(controlCapacity: Int) = SidecarDaemon(
            settings = settings(),
            incarnation = TEST_INCARNATION,
            clock = MonotonicClock(),
            caller = EndpointCaller(endpoint.url),
            metrics = SidecarMetrics(SimpleMeterRegistry()),
            engineCalls = EngineOrderExecutor.of(settings(), TEST_INCARNATION, MonotonicClock()),
            controlCapacity = controlCapacity,
            onBrokenInvariant = { throw AssertionError("broken invariant") },
        )

        beforeEach {
            scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
            selectors = SelectorManager(Dispatchers.IO)
            release = CountDownLatch(1)
            callStarted = Channel(Channel.UNLIMITED)
            endpoint = ScriptedEndpoint { output ->
                callStarted.trySend(Unit)
                release.await()
                ScriptedEndpoint.response("200 OK", "done".encodeToByteArray())(output)
            }
            daemon = newDaemon(controlCapacity = 256)
            daemon.start()
        }

        afterEach {
            release.countDown()
            endpoint.close()
            scope.cancel()
            selectors.close()
        }

        suspend fun connect(): TestEntry =
            TestEntry(daemon.listenAddress, selectors, scope).also { it.awaitOpen().leaving shouldBe false }

        fun isLastFrameOf(attempt: String): (Message) -> Boolean = {
            it is Frame && it.attempt == AttemptId(attempt) && it.last && it.payload == Payload.ofText("done")
        }

        describe("an attempt") {
            it("runs on the endpoint, and its response is returned") {
                val entry = connect()
                release.countDown()

                entry.client.trySend(testDispatch("entry.1:0:0")) shouldBe true

                isLastFrameOf("entry.1:0:0")(entry.next()) shouldBe true
            }

            it("continues when its connection is lost, and its response is returned on the next one") {
                val first = connect()
                first.client.trySend(testDispatch("entry.1:0:0"))
                callStarted.receive()

                first.client.stop()
                val second = connect()
                second.client.trySend(query("entry.1:0:0"))
                second.next() shouldBe Running(AttemptId("entry.1:0:0"))
                release.countDown()

                isLastFrameOf("entry.1:0:0")(second.next()) shouldBe true
                endpoint.calls.get() shouldBe 1
            }

            it("runs once although it is sent twice") {
                val entry = connect()
                entry.client.trySend(testDispatch("entry.1:0:0"))
                callStarted.receive()
                entry.client.trySend(testDispatch("entry.1:0:0"))
                entry.next() shouldBe Running(AttemptId("entry.1:0:0"))
                release.countDown()

                isLastFrameOf("entry.1:0:0")(entry.next()) shouldBe true
                endpoint.calls.get() shouldBe 1
            }
        }

        describe("a sidecar that has started") {
            it("is ready as soon as it accepts connections") {
                repeat(20) {
                    val started = newDaemon(controlCapacity = 256).also { it.start() }
                    started.notReadyReason() shouldBe null
                }
            }
        }

        describe("a sidecar without capacity for new work") {
            it("refuses it as not run, still responds to outcome queries, and completes a drain") {
                val attempt = AttemptId("entry.1:0:0")
                daemon = newDaemon(controlCapacity = 0).also { it.start() }
                val entry = connect()

                entry.client.trySend(testDispatch("entry.1:0:0"))
                entry.next().shouldBeInstanceOf<Refused>().reason shouldBe RefusalReason.QUEUE_FULL
                entry.client.trySend(QueryOutcome(attempt, TEST_INCARNATION))
                entry.next().shouldBeInstanceOf<OutcomeReport>().outcome shouldBe AttemptOutcome.NOT_RUN
                entry.client.trySend(query("entry.1:0:0"))
                entry.next().shouldBeInstanceOf<Refused>().reason shouldBe RefusalReason.QUEUE_FULL

                coroutineScope {
                    val drained = async(Dispatchers.Default) { daemon.drain() }
                    entry.next() shouldBe Leaving
                    withTimeout(15.seconds) { drained.await() }
                }
                endpoint.calls.get() shouldBe 0
            }
        }

        describe("a request for an outcome") {
            it("does not prevent the attempt from running later") {
                val entry = connect()
                release.countDown()

                entry.client.trySend(QueryOutcome(AttemptId("entry.1:0:0"), TEST_INCARNATION))
                entry.next() shouldBe OutcomeReport(AttemptId("entry.1:0:0"), AttemptOutcome.NEVER_SEEN)
                entry.client.trySend(testDispatch("entry.1:0:0"))

                isLastFrameOf("entry.1:0:0")(entry.next()) shouldBe true
            }
        }

        describe("a sidecar that drains") {
            it("announces that it leaves, refuses new work, completes the attempts in flight and stops") {
                val entry = connect()
                entry.client.trySend(testDispatch("entry.1:0:0"))
                callStarted.receive()

                coroutineScope {
                    val drained = async(Dispatchers.Default) { daemon.drain() }
                    entry.next() shouldBe Leaving
                    daemon.notReadyReason() shouldBe "leaving"
                    entry.client.trySend(testDispatch("entry.2:0:0"))
                    val refusal = entry.next().shouldBeInstanceOf<Refused>()
                    refusal.reason shouldBe RefusalReason.LEAVING
                    release.countDown()

                    isLastFrameOf("entry.1:0:0")(entry.next()) shouldBe true
                    withTimeout(15.seconds) { drained.await() }
                }
                endpoint.calls.get() shouldBe 1
            }

            it("reports that it leaves to an entry that connects during the drain") {
                val first = connect()
                first.client.trySend(testDispatch("entry.1:0:0"))
                callStarted.receive()

                coroutineScope {
                    val drained = async(Dispatchers.Default) { daemon.drain() }
                    first.next() shouldBe Leaving
                    val second = TestEntry(daemon.listenAddress, selectors, scope)
                    second.awaitOpen().leaving shouldBe true
                    release.countDown()
                    withTimeout(15.seconds) { drained.await() }
                }
            }
        }
    })
