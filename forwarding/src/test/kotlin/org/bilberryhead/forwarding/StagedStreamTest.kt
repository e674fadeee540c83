package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.bilberryhead.core.testing.http.RawMessage
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Handles a request; the number is that of the request among those of its kind, from 0. */
private typealias NumberedHandler = ScriptedEndpoint.Exchange.(Int) -> Unit

/** Adds a stream of two stages, whose callers wait for 4 s between two events. */
private val configuration = LoopbackDeployment.CONFIGURATION
    .replace(""""call_ms":1000""", """"call_ms":100""")
    .replace(
        """{"name":"lookup"""",
        """
        {"name":"two-stages","host":"h","prefix":"/two-stages/","route_type":"streaming","resumable":true,
         "timeout_ms":9000,"slo_ms":1000,"service":"p","max_attempts":2,
         "stages":[{"service":"s","after":[],"bytes":10},{"service":"s","after":[0],"bytes":10}]},
        {"name":"lookup"""",
    )

class StagedStreamTest :
    DescribeSpec({
        /** Deploys [engines] and an endpoint for their stages; returns the number of calls of the stages. */
        fun deployStaged(
            engines: List<ScriptedEndpoint>,
            stage: NumberedHandler,
            retrySlack: Double = 50.0,
            use: (LoopbackDeployment) -> Unit,
        ): Int {
            val calls = AtomicInteger()
            val stageEndpoint = ScriptedEndpoint {
                if ("stage-run" in request.head) stage(calls.getAndIncrement()) else respond(headers = "")
            }
            try {
                val pools = mapOf("p" to engines, "s" to listOf(stageEndpoint))
                LoopbackDeployment(configuration, pools, retrySlack = retrySlack).use(use)
            } finally {
                (engines + stageEndpoint).forEach { it.close() }
            }
            return calls.get()
        }

        fun enginesWith(handler: NumberedHandler): List<ScriptedEndpoint> {
            val requests = AtomicInteger()
            return List(2) { ScriptedEndpoint { handler(requests.getAndIncrement()) } }
        }

        fun ScriptedEndpoint.Exchange.respondMade(index: Int) =
            respond(body = """{"items":[{"handle":"127.0.0.1:9/$index"}]}""", headers = "")

        fun events(ids: IntRange) = ids.joinToString("") { "id: $it\ndata: a\n\n" }

        fun LoopbackDeployment.getStream() = send(
            "GET /two-stages/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Api-Key: k\r\n" +
                "X-Pieces: 1,1\r\nX-Piece-Key: key\r\n\r\n",
        ).shouldNotBeNull()

        describe("a stream with stages that breaks off") {
            it("is resumed at another endpoint though it has lasted for longer than its caller waits for an event") {
                val engines = enginesWith { index ->
                    startStream()
                    if (index == 0) {
                        for (id in 0..5) {
                            sendChunk(events(id..id))
                            TimeUnit.MILLISECONDS.sleep(750)
                        }
                        closeConnection()
                    } else {
                        sendChunk(events(6..7))
                        endStream()
                    }
                }
                deployStaged(engines, { respondMade(it) }) { entry ->
                    entry.getStream().body shouldBe events(0..7)
                } shouldBe 4
            }
        }

        describe("a stream with stages that goes on before its replacement is sent") {
            /** Plays the stream, whose endpoint goes on while its first stage runs again, and then [use]. */
            fun playPause(retrySlack: Double = 50.0, use: (LoopbackDeployment) -> Unit = {}): Int {
                val isRunAgain = CountDownLatch(1)
                val hasGoneOn = CountDownLatch(1)
                val engines = enginesWith { index ->
                    when (index) {
                        0 -> {
                            startStream()
                            sendChunk(events(0..0))
                            isRunAgain.await(4, TimeUnit.SECONDS)
                            sendChunk(events(1..1))
                            TimeUnit.MILLISECONDS.sleep(100)
                            hasGoneOn.countDown()
                            TimeUnit.MILLISECONDS.sleep(600)
                            sendChunk(events(2..2))
                            endStream()
                        }

                        1 -> respond("500 Internal Server Error")
                        else -> respond()
                    }
                }
                val stage: NumberedHandler = { index ->
                    if (index == 2) {
                        isRunAgain.countDown()
                        hasGoneOn.await(4, TimeUnit.SECONDS)
                    }
                    respondMade(index)
                }
                return deployStaged(engines, stage, retrySlack) { entry ->
                    entry.getStream().body shouldBe events(0..2)
                    use(entry)
                }
            }

            it("leaves the retry to another request") {
                playPause(retrySlack = 1.2) { entry ->
                    entry.get("/lookup/a", "r2").shouldNotBeNull().head shouldContain " 200 "
                }
            }

            it("does not run the rest of its stages again") {
                playPause() shouldBe 3
            }
        }

        describe("a stream with stages that is silent while another request takes the last retry") {
            it("is not sent to a replacement, and goes on at its endpoint") {
                val deployed = CompletableFuture<LoopbackDeployment>()
                val lookup = CompletableFuture<RawMessage?>()
                val engines = enginesWith { index ->
                    when (index) {
                        0 -> {
                            startStream()
                            sendChunk(events(0..0))
                            lookup.get(4, TimeUnit.SECONDS)
                            TimeUnit.MILLISECONDS.sleep(600)
                            sendChunk(events(1..1))
                            endStream()
                        }

                        1 -> respond("500 Internal Server Error")
                        else -> respond()
                    }
                }
                val stage: NumberedHandler = { index ->
                    if (index == 2) lookup.complete(deployed.get().get("/lookup/a", "r2"))
                    respondMade(index)
                }
                deployStaged(engines, stage, retrySlack = 1.2) { entry ->
                    deployed.complete(entry)
                    entry.getStream().body shouldBe events(0..1)
                    lookup.get().shouldNotBeNull().head shouldContain " 200 "
                } shouldBe 4
                engines.sumOf { it.requests.size } shouldBe 3
            }
        }
    })
