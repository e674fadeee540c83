package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import org.bilberryhead.forwarding.peer.PeerCodec
import org.bilberryhead.forwarding.peer.PeerPaths
import org.bilberryhead.forwarding.peer.PieceMessage
import org.bilberryhead.forwarding.peer.PiecesMessage
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Shorter than the timeout of a call of a stage, which would end the pieces too. */
private const val RESPONSE_LIMIT_MS = 3_000

/** Pieces of one call, and more calls than an endpoint takes at once. */
private const val BATCH = 4
private const val FILLING_CALLS = 5
private const val EXPECTED_HEADERS = "Expect: 100-continue\r\n"

/** Pieces that another entry sends to the coordinator at [address] on a connection of its own. */
private class SentPieces(address: SocketAddress, request: String, count: Int, headers: String = "") : AutoCloseable {
    private val socket = Socket(HOST, address.port).apply { soTimeout = RESPONSE_LIMIT_MS }
    private val body = PeerCodec.encode(
        PiecesMessage.serializer(),
        PiecesMessage(
            PoolName("s"),
            List(count) { PieceMessage(request, 0, it, "key", emptyList(), 0, TIME_MS, TIME_MS, TIME_MS, 10) },
        ),
    )

    init {
        socket.getOutputStream().writeText(
            "POST ${PeerPaths.PIECES} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n$headers" +
                "Content-Length: ${body.size}\r\n\r\n",
        )
    }

    fun sendBody() = apply { socket.getOutputStream().write(body) }

    fun sendPartOfBody() = apply { socket.getOutputStream().write(body, 0, body.size / 2) }

    /** Waits for the head that says that the pieces are accepted. */
    fun awaitAccepted() = apply {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(Char(socket.getInputStream().read()))
        head.toString() shouldContain " 200 "
    }

    fun awaitStatus(): Int? = socket.getInputStream().readMessage()?.status

    /** Waits for the outcomes of accepted pieces. */
    fun awaitOutcomes(): String = socket.getInputStream().readAllBytes().toString(Charsets.ISO_8859_1)

    override fun close() = socket.close()

    private companion object {
        const val TIME_MS = 10_000L
    }
}

class DrainingCoordinatorTest :
    DescribeSpec({
        /** Runs [block] with an entry whose calls of stages return once the latch opens. */
        fun withEntry(drainLimit: Long, block: LoopbackDeployment.(ScriptedEndpoint, CountDownLatch) -> Unit) {
            val returning = CountDownLatch(1)
            ScriptedEndpoint {
                val pieces = Regex("\"piece\"").findAll(request.body).count()
                returning.await(10, TimeUnit.SECONDS)
                val items = List(pieces) { """{"handle":"127.0.0.1:9/1"}""" }
                respond(body = """{"items":[${items.joinToString(",")}]}""", headers = "")
            }.use { stage ->
                val pools = mapOf("s" to listOf(stage))
                LoopbackDeployment(LoopbackDeployment.CONFIGURATION, pools, drainLimit = drainLimit).use {
                    it.block(stage, returning)
                    returning.countDown()
                }
            }
        }

        describe("pieces of another entry whose coordinator drains") {
            it("are awaited when they are called, after all requests of its own have ended") {
                withEntry(drainLimit = 8_000) { stage, returning ->
                    SentPieces(settings.peers, "r", count = 1).use { sent ->
                        sent.sendBody().awaitAccepted()
                        stage.awaitRequest()
                        val ended = drain()
                        // An idle entry ends after three seconds.
                        ended.await(3_500, TimeUnit.MILLISECONDS) shouldBe false
                        returning.countDown()
                        sent.awaitOutcomes() shouldContain "MADE"
                        ended.await(5, TimeUnit.SECONDS) shouldBe true
                    }
                }
            }

            it("are reported as called at the end of the drain, when their call has not returned") {
                withEntry(drainLimit = 1_000) { stage, _ ->
                    SentPieces(settings.peers, "r", count = 1).use { sent ->
                        sent.sendBody().awaitAccepted()
                        stage.awaitRequest()
                        drain()
                        val outcomes = sent.awaitOutcomes()
                        outcomes shouldContain "CALL_FAILED"
                        outcomes shouldNotContain "isHandedOver"
                    }
                }
            }

            it("are handed over at once while they wait for a call") {
                withEntry(drainLimit = 8_000) { stage, _ ->
                    val called = List(FILLING_CALLS) { SentPieces(settings.peers, "called-$it", BATCH) }
                    called.forEach { it.sendBody().awaitAccepted() }
                    stage.awaitRequest()
                    SentPieces(settings.peers, "waiting", count = 1).use { waiting ->
                        waiting.sendBody().awaitAccepted()
                        drain()
                        waiting.awaitOutcomes() shouldContain "isHandedOver"
                    }
                    called.forEach { it.close() }
                }
            }

            it("are refused when the drain ends before they are read whole") {
                withEntry(drainLimit = 1_000) { _, _ ->
                    SentPieces(settings.peers, "r", count = 1, EXPECTED_HEADERS).use { sent ->
                        // The entry has read the head when it asks for the body.
                        sent.awaitStatus() shouldBe 100
                        sent.sendPartOfBody()
                        drain()
                        sent.awaitStatus() shouldBe 503
                    }
                }
            }

            it("are refused at once when they arrive during the drain") {
                withEntry(drainLimit = 8_000) { _, _ ->
                    SentPieces(settings.peers, "r", count = 1, EXPECTED_HEADERS).use { sent ->
                        sent.awaitStatus() shouldBe 100
                        drain()
                        awaitDraining()
                        sent.sendBody().awaitStatus() shouldBe 503
                    }
                }
            }
        }

        describe("a message of another entry that is longer than the body that callers may send") {
            it("is accepted, so that a change of the limits for callers keeps no pieces from their coordinator") {
                withEntry(drainLimit = 1_000) { _, _ ->
                    SentPieces(settings.peers, "r", count = 60).use { it.sendBody().awaitAccepted() }
                }
            }
        }
    })
