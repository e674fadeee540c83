package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
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
            use: (LoopbackDeployment) -> Unit,
        ): Int {
            val calls = AtomicInteger()
            val stageEndpoint = ScriptedEndpoint {
                if ("stage-run" in request.head) stage(calls.getAndIncrement()) else respond(headers = "")
            }
            try {
                val pools = mapOf("p" to engines, "s" to listOf(stageEndpoint))
                LoopbackDeployment(configuration, pools).use(use)
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
    })
