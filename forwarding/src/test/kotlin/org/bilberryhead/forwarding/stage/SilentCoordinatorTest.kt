package org.bilberryhead.forwarding.stage

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldContainOnly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.core.serving.PieceEndpointChooser
import org.bilberryhead.core.serving.PieceProcessingProfile
import org.bilberryhead.core.serving.RetryLimits
import org.bilberryhead.core.serving.SharedRetryBudget
import org.bilberryhead.core.serving.StagePiece
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.ScriptedEndpoint
import org.bilberryhead.forwarding.freeAddress
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.newEventThread
import org.bilberryhead.forwarding.peer.PeerClient
import org.bilberryhead.forwarding.peer.PeerCodec
import org.bilberryhead.forwarding.peer.PeerPaths
import org.bilberryhead.forwarding.peer.PieceOutcome
import org.bilberryhead.forwarding.peer.PieceOutcomeMessage
import org.bilberryhead.forwarding.peer.PieceOutcomesMessage
import org.bilberryhead.platform.wire.StageCodec.PieceResult
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val pool = PoolName("s")
private val dataCentre = DataCentre("x")

/** A silence that a sound process may keep. */
private val SILENCE: Duration = 1_300.milliseconds

/** A stage endpoint that computes the pieces that this entry sends itself. */
private fun newStageEndpoint() = ScriptedEndpoint {
    val pieces = Regex("\"piece\"").findAll(request.body).count()
    val items = List(pieces) { """{"handle":"127.0.0.1:9/own"}""" }
    respond(body = """{"items":[${items.joinToString(",")}]}""", headers = "")
}

/** Responds as the coordinator of a submission with [pieces] pieces, all of which are computed. */
private fun ScriptedEndpoint.Exchange.respondAsCoordinator(pieces: Int) =
    respondAsCoordinator(List(pieces, ::madeMessage))

private fun madeMessage(index: Int) = PieceOutcomeMessage(0, index, PieceOutcome.MADE, "127.0.0.1:9/coordinated")

private fun ScriptedEndpoint.Exchange.respondAsCoordinator(ends: List<PieceOutcomeMessage>) {
    if (PeerPaths.ALIVE in request.head) return respond(body = "", headers = "")
    val body = PeerCodec.encode(PieceOutcomesMessage.serializer(), PieceOutcomesMessage(ends))
    write("HTTP/1.1 200 OK\r\nContent-Length: ${body.size}\r\n\r\n")
    write(body)
}

/** An entry that submits pieces to the coordinator at [coordinator], and after it to its own scheduler. */
private class SubmittingEntry(
    coordinator: SocketAddress,
    private val stageEndpoint: ScriptedEndpoint,
    retrySlack: Double,
) : AutoCloseable {
    private val eventThread = newEventThread()
    private val log = DecisionLog(linesPerSecond = 0, eventThread::now)
    private val connector = Connector(eventThread, "X-Request-Id")
    private val profile =
        PieceProcessingProfile(8, 8, 4, 100.milliseconds, 1.milliseconds, 10_000_000.0, 4.seconds)
    private val context = FakeStageContext(eventThread, connector, log, stageEndpoint)
    private val coordinatorRecord = EntryRecord(DaemonId("coordinator"), dataCentre, coordinator, 1.0)
    private val ownRecord = EntryRecord(DaemonId("own"), dataCentre, freeAddress(), 1.0)
    private val peer = PeerClient(coordinatorRecord, eventThread, log, connector)
    private val client = StageCoordinatorClient(
        pool,
        StageScheduler(pool, profile, context, PieceEndpointChooser(profile)),
        { listOf(coordinatorRecord to peer, ownRecord to null) },
        SharedRetryBudget(RetryLimits(ratio = 0.0, slack = retrySlack)) { 1 },
        eventThread,
    ) { false }
    private val outcomes = LinkedBlockingQueue<PieceCallOutcome>()

    /** Number of pieces that this entry sent to the endpoint itself. */
    val ownPieceCount: Int
        get() = stageEndpoint.requests.sumOf { Regex("\"piece\"").findAll(it.body).count() }

    fun submit(request: String, pieces: Int = 1, time: Duration = 10.seconds) = eventThread.loop.execute {
        val deadline = eventThread.now() + time
        val submitted = List(pieces) {
            StagePiece(RequestId(request), 0, it, "key", emptyList(), 0, deadline, deadline, deadline, 10)
        }
        client.submit(submitted) { _, outcome -> outcomes += outcome }
    }

    fun awaitOutcomes(count: Int): List<PieceCallOutcome> =
        List(count) { outcomes.poll(5, TimeUnit.SECONDS) }.filterNotNull()

    override fun close() {
        eventThread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

private fun madeAt(handle: String) = PieceCallOutcome.ResultReturned(PieceResult.Made("127.0.0.1:9/$handle"))

class SilentCoordinatorTest :
    DescribeSpec({
        /** Runs [block] with a coordinator that behaves like [handler], and [retries] retries in the budget. */
        fun withCoordinator(
            retries: Int,
            handler: ScriptedEndpoint.Exchange.() -> Unit,
            block: SubmittingEntry.(ScriptedEndpoint) -> Unit,
        ) = newStageEndpoint().use { stage ->
            ScriptedEndpoint(handler).use { coordinator ->
                // The budget stays below its limit by a safety factor.
                SubmittingEntry(addressOf(coordinator), stage, retrySlack = retries * 1.2).use { it.block(coordinator) }
            }
        }

        describe("pieces whose coordinator accepted them, is silent for a while and goes on") {
            it("are sent again by this entry only as far as the retry budget allows, and the others still complete") {
                withCoordinator(retries = 2, {
                    TimeUnit.MILLISECONDS.sleep(SILENCE.inWholeMilliseconds)
                    respondAsCoordinator(pieces = 1)
                }) {
                    repeat(6) { submit("r$it") }
                    val outcomes = awaitOutcomes(6)
                    ownPieceCount shouldBe 2
                    outcomes.count { it == madeAt("own") } shouldBe 2
                    outcomes.count { it == madeAt("coordinated") } shouldBe 4
                }
            }

            it("take one retry for each piece of a request") {
                withCoordinator(retries = 2, {
                    TimeUnit.MILLISECONDS.sleep(SILENCE.inWholeMilliseconds)
                    respondAsCoordinator(pieces = 3)
                }) {
                    submit("r", pieces = 3)
                    awaitOutcomes(3) shouldContainOnly listOf(madeAt("coordinated"))
                    ownPieceCount shouldBe 0
                }
            }

            it("fail once their outcome is of no use when the coordinator stays silent and the budget holds no retry") {
                withCoordinator(retries = 0, { awaitClose() }) {
                    submit("r", time = SILENCE)
                    awaitOutcomes(1).single().shouldBeInstanceOf<PieceCallOutcome.DeadlineUnreachable>()
                    ownPieceCount shouldBe 0
                }
            }
        }

        describe("pieces whose coordinator closes the connection after it has read them") {
            it("fail when the budget holds no retry") {
                withCoordinator(retries = 0, { closeConnection() }) {
                    submit("r")
                    awaitOutcomes(1).single().shouldBeInstanceOf<PieceCallOutcome.CallFailed>()
                    ownPieceCount shouldBe 0
                }
            }
        }

        describe("pieces that their coordinator cannot have sent") {
            it("are sent by this entry without a retry when the coordinator does not listen") {
                withCoordinator(retries = 0, {}) { coordinator ->
                    coordinator.close()
                    submit("r")
                    awaitOutcomes(1) shouldBe listOf(madeAt("own"))
                }
            }

            it("are sent by this entry without a retry when the coordinator drains and hands them over") {
                withCoordinator(retries = 0, {
                    val handedOver = PieceOutcomeMessage(0, 1, PieceOutcome.CALL_FAILED, isHandedOver = true)
                    respondAsCoordinator(listOf(madeMessage(index = 0), handedOver))
                }) {
                    submit("r", pieces = 2)
                    awaitOutcomes(2) shouldContainExactlyInAnyOrder listOf(madeAt("coordinated"), madeAt("own"))
                    ownPieceCount shouldBe 1
                }
            }

            it("are sent by this entry without a retry when the coordinator refuses them") {
                withCoordinator(retries = 0, { respond("503 Service Unavailable", body = "", headers = "") }) {
                    submit("r", pieces = 2)
                    awaitOutcomes(2) shouldHaveSize 2
                    ownPieceCount shouldBe 2
                }
            }
        }
    })
