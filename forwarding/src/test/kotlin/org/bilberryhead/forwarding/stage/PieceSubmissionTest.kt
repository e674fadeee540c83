package org.bilberryhead.forwarding.stage

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.serving.CallerLimits
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.core.serving.PieceEndpointChooser
import org.bilberryhead.core.serving.PieceProcessingProfile
import org.bilberryhead.core.serving.RetryLimits
import org.bilberryhead.core.serving.SharedRetryBudget
import org.bilberryhead.core.serving.StagePiece
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.ScriptedEndpoint
import org.bilberryhead.forwarding.caller.CallerServer
import org.bilberryhead.forwarding.caller.CallerServerState
import org.bilberryhead.forwarding.freeAddress
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.newEventThread
import org.bilberryhead.forwarding.peer.PeerClient
import org.bilberryhead.forwarding.peer.PeerHandler
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val pool = PoolName("s")
private val dataCentre = DataCentre("x")
private val profile = PieceProcessingProfile(8, 8, 4, 500.milliseconds, 1.milliseconds, 10_000_000.0, 4.seconds)

private fun stageEndpoint(name: String, delayMs: Long) = ScriptedEndpoint {
    val pieces = Regex("\"piece\"").findAll(request.body).count()
    TimeUnit.MILLISECONDS.sleep(delayMs)
    val items = List(pieces) { """{"handle":"127.0.0.1:9/$name"}""" }
    respond(body = """{"items":[${items.joinToString(",")}]}""", headers = "")
}

private class Node(endpoint: ScriptedEndpoint) {
    val eventThread = newEventThread()
    val log = DecisionLog(linesPerSecond = 0, eventThread::now)
    val connector = Connector(eventThread, "X-Request-Id")
    private val context = FakeStageContext(eventThread, connector, log, endpoint)
    val scheduler = StageScheduler(pool, profile, context, PieceEndpointChooser(profile))

    fun serve(address: SocketAddress) {
        val state = object : CallerServerState {
            override fun now(): Instant = eventThread.now()
            override val limits = CallerLimits(5000, 500_000, 3.seconds, 15.seconds)
            override val isDraining = false

            override fun recordFailure(failure: Throwable) = throw failure

            override fun runGuarded(block: () -> Unit) = runCatching(block).onFailure(::recordFailure).isSuccess

            override fun rejected(status: Int, reason: String) = Unit
        }
        val handler = PeerHandler(eventThread, { scheduler }, { error("none") }, { false })
        CallerServer(eventThread, state, handler = handler).listen(address)
    }

    fun client(coordinator: SocketAddress, budget: SharedRetryBudget): StageCoordinatorClient {
        val record = EntryRecord(DaemonId("coordinator"), dataCentre, coordinator, 1.0)
        val own = EntryRecord(DaemonId("own"), dataCentre, freeAddress(), 1.0)
        val peer = PeerClient(record, eventThread, log, connector)
        return StageCoordinatorClient(pool, scheduler, { listOf(record to peer, own to null) }, budget, eventThread) {
            false
        }
    }

    fun close() {
        eventThread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

class PieceSubmissionTest :
    DescribeSpec({
        fun play(retries: Int): List<String> {
            val slow = stageEndpoint("coordinated", 2000)
            val quick = stageEndpoint("own", 0)
            val coordinator = Node(slow)
            val entry = Node(quick)
            val address = freeAddress()
            coordinator.serve(address)
            val budget = SharedRetryBudget(RetryLimits(ratio = 0.0, slack = retries * 1.2)) { 1 }
            val client = entry.client(address, budget)
            val outcomes = LinkedBlockingQueue<String>()
            entry.eventThread.loop.execute {
                val deadline = entry.eventThread.now() + 10.seconds
                for (stage in 0..1) {
                    val piece = StagePiece(
                        RequestId("r"), stage, 0, "key", emptyList(), 0, deadline, deadline, deadline, 10,
                    )
                    client.submit(listOf(piece)) { submitted, outcome -> outcomes += "${submitted.stage} $outcome" }
                }
            }
            TimeUnit.MILLISECONDS.sleep(150)
            coordinator.eventThread.loop.execute { TimeUnit.MILLISECONDS.sleep(1300) }
            val seen = List(2) { outcomes.poll(6, TimeUnit.SECONDS) }.filterNotNull()
            listOf(coordinator, entry).forEach { it.close() }
            slow.close()
            quick.close()
            return seen
        }

        describe("two submissions of one request at a coordinator that pauses") {
            it("both end when neither is sent again") { play(0).size shouldBe 2 }
            it("both end when one is sent again") { play(1).size shouldBe 2 }
            it("both end when both are sent again") { play(2).size shouldBe 2 }
        }

        describe("a request with the id of one that its caller has left at another entry") {
            it("gets its outcome") {
                val slow = stageEndpoint("coordinated", 1000)
                val quick = stageEndpoint("own", 0)
                val coordinator = Node(slow)
                val entries = List(2) { Node(quick) }
                val address = freeAddress()
                coordinator.serve(address)
                val outcomes = LinkedBlockingQueue<String>()
                val clients = entries.map { entry ->
                    val client = entry.client(address, SharedRetryBudget(RetryLimits(0.0, 1.2)) { 1 })
                    entry.eventThread.loop.execute {
                        val deadline = entry.eventThread.now() + 10.seconds
                        val piece = StagePiece(
                            RequestId("r"), 0, 0, "key", emptyList(), 0, deadline, deadline, deadline, 10,
                        )
                        client.submit(listOf(piece)) { _, outcome -> outcomes += outcome.toString() }
                    }
                    client
                }
                TimeUnit.MILLISECONDS.sleep(300)
                entries[0].eventThread.loop.execute { clients[0].cancel(RequestId("r")) }
                val seen = outcomes.poll(5, TimeUnit.SECONDS)
                (entries + coordinator).forEach { it.close() }
                slow.close()
                quick.close()
                seen.shouldNotBeNull()
            }
        }
    })
