package org.bilberryhead.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.membership.EndpointSubset
import org.bilberryhead.core.membership.SubsetLimits
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.message.AttemptOutcome
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.OutcomeReport
import org.bilberryhead.core.message.QueryOutcome
import org.bilberryhead.core.message.Welcome
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.protocol.MessageCodec
import org.bilberryhead.protocol.MessageServer
import org.bilberryhead.protocol.MessageServerHandler
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val incarnation = Incarnation("run-1")

/** An attempt whose outcome the fake sidecar never reports. */
private val SILENT = AttemptId("silent")

/** A fake sidecar that reports the outcome `ANSWERED` for every attempt but [SILENT]. */
private class RespondingSidecar : MessageServerHandler {
    private val senders = ConcurrentHashMap<Long, (Message) -> Boolean>()

    override fun welcome(hello: Hello) = Welcome(DaemonId("sidecar"), incarnation, TableVersion.NONE)

    override fun heartbeat() = Heartbeat(TableVersion.NONE)

    override suspend fun onOpened(connection: Long, hello: Hello, send: (Message) -> Boolean) {
        senders[connection] = send
    }

    override suspend fun onMessage(connection: Long, message: Message) {
        if (message !is QueryOutcome || message.attempt == SILENT) return
        senders.getValue(connection)(OutcomeReport(message.attempt, AttemptOutcome.ANSWERED))
    }

    override suspend fun onClosed(connection: Long) = Unit
}

private object NoOpLinkOwner : LinkOwner {
    override val idleInterval = 1.minutes

    override fun hello() = Hello(MessageCodec.PROTOCOL_VERSION, DaemonId("entry"), TableVersion.NONE)

    override fun heartbeat() = Heartbeat(TableVersion.NONE)

    override suspend fun handshakeCompleted(link: SidecarLink, welcome: Welcome) = Unit

    override suspend fun versionReported(link: SidecarLink, version: TableVersion) = Unit

    override suspend fun tableMessageReceived(link: SidecarLink, message: Message) = Unit

    override suspend fun connectionLost(link: SidecarLink) = Unit

    override fun loadReported(endpoint: Endpoint, load: LoadReport) = Unit
}

class SidecarDirectoryTest :
    DescribeSpec({
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val selectorManager = SelectorManager(Dispatchers.IO)
        val server = MessageServer(SocketAddress("127.0.0.1", 0), RespondingSidecar(), scope)
        beforeSpec { runBlocking { server.start() } }
        afterSpec {
            server.stop()
            selectorManager.close()
            scope.cancel()
        }

        fun pool(): Pool {
            val endpoints = List(8) { Endpoint(EndpointId("orders-$it"), DataCentre("nashua"), server.listenAddress) }
            return Pool(PoolName("orders"), endpoints)
        }

        fun directory(clock: TestClock = TestClock()): SidecarDirectory {
            val subset = EndpointSubset("one", setOf("one", "other"), SubsetLimits(1, 1))
            return SidecarDirectory(NoOpLinkOwner, selectorManager, scope, clock, subset)
                .apply { update(Tables(pools = mapOf(PoolName("orders") to pool()))) }
        }

        fun foreignEndpoint(directory: SidecarDirectory): EndpointId {
            val own = directory.subsetLinks.map { it.endpoint.id }
            return pool().endpoints.map { it.id }.first { it !in own }
        }

        describe("an endpoint of another entry's subset") {
            it("can be queried about an attempt through a link that opens on demand") {
                val directory = directory()
                val foreign = foreignEndpoint(directory)
                val link = directory.link(foreign).shouldNotBeNull()

                link.awaitFirstConnection(30.seconds)
                val report = link.queryOutcome(AttemptLocation(foreign, incarnation, AttemptId("a")), 30.seconds)

                report.shouldNotBeNull().outcome shouldBe AttemptOutcome.ANSWERED
                directory.link(foreign) shouldBe link
            }

            it("gives no outcome when its sidecar does not respond in time") {
                val directory = directory()
                val foreign = foreignEndpoint(directory)
                val link = directory.link(foreign).shouldNotBeNull()

                link.awaitFirstConnection(30.seconds)

                link.queryOutcome(AttemptLocation(foreign, incarnation, SILENT), 100.milliseconds).shouldBeNull()
            }

            it("is never chosen for new work") {
                val directory = directory()
                val foreign = foreignEndpoint(directory)

                directory.link(foreign).shouldNotBeNull().awaitFirstConnection(30.seconds)

                directory.candidates(pool()).map { it.endpoint } shouldNotContain foreign
            }

            it("has its link closed after a time without use") {
                val clock = TestClock()
                val directory = directory(clock)
                val link = directory.link(foreignEndpoint(directory))

                directory.closeIdle().shouldBeEmpty()
                clock.advance(2.minutes)

                directory.closeIdle() shouldContainExactly listOf(link)
            }
        }

        describe("an endpoint that is not in the tables") {
            it("has no link") {
                directory().link(EndpointId("orders-99")).shouldBeNull()
            }
        }
    })
