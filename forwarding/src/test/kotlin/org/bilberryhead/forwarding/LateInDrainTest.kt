package org.bilberryhead.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.testing.http.RawMessage
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Routes whose requests usually take far less time than they may take. */
private val CONFIGURATION = """
    {"version":1,"routes":[
     {"name":"order","host":"h","prefix":"/order/","route_type":"non_idempotent","timeout_ms":10000,"slo_ms":200,
      "service":"p","max_attempts":3},
     {"name":"narrow","host":"h","prefix":"/narrow/","route_type":"non_idempotent","timeout_ms":10000,"slo_ms":200,
      "service":"n"},
     {"name":"lookup","host":"h","prefix":"/lookup/","route_type":"idempotent","timeout_ms":10000,"slo_ms":200,
      "service":"p"},
     {"name":"resume","host":"h","prefix":"/resume/","route_type":"streaming","resumable":true,"timeout_ms":30000,
      "service":"p","max_attempts":3}],
     "services":[{"name":"p","max_conns":40},{"name":"n","max_conns":1}]}
""".trimIndent()

private const val DRAIN_LIMIT_MS = 6_000L

private fun <T> useEntry(vararg endpoints: ScriptedEndpoint, pool: String = "p", use: (LoopbackDeployment) -> T): T =
    try {
        LoopbackDeployment(CONFIGURATION, mapOf(pool to endpoints.toList()), drainLimit = DRAIN_LIMIT_MS).use(use)
    } finally {
        endpoints.forEach { it.close() }
    }

private fun Socket.sendGet(path: String, id: String, headers: String = "") =
    getOutputStream().writeText("GET $path HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\n$headers\r\n")

private fun Socket.readResponse(): RawMessage = getInputStream().readMessage().shouldNotBeNull()

/** Starts a drain and returns once the entry reports that it drains. */
private fun LoopbackDeployment.beginDrain() {
    drain()
    while (isReady()) TimeUnit.MILLISECONDS.sleep(5)
}

private fun checkRefusedElsewhere(response: RawMessage) = withClue(response.toString()) {
    response.status shouldBe 503
    response.header("Connection") shouldBe "close"
    response.header("Retry-After").shouldNotBeNull()
}

class LateInDrainTest :
    DescribeSpec({
        describe("a request that may not be repeated and may take longer than the drain") {
            it("is refused as not run instead of being passed on and cut at the end of the drain") {
                val endpoint = ScriptedEndpoint { awaitClose() }
                useEntry(endpoint) { entry ->
                    entry.connect().use { caller ->
                        entry.beginDrain()
                        caller.sendGet("/order/a", "r1")
                        val response = caller.readResponse()
                        withClue(response.toString()) {
                            endpoint.requests.mapNotNull { it.header("X-Request-Id") }.shouldBeEmpty()
                        }
                        checkRefusedElsewhere(response)
                    }
                }
            }

            it("is passed on when its caller's deadline is before the end of the drain") {
                useEntry(ScriptedEndpoint { respond() }) { entry ->
                    entry.connect().use { caller ->
                        entry.beginDrain()
                        caller.sendGet("/order/a", "r1", "X-Deadline-Ms: 3000\r\n")
                        caller.readResponse().status shouldBe 200
                    }
                }
            }

            it("is not passed on by a connection that becomes free during the drain") {
                val isReleased = CountDownLatch(1)
                val endpoint = ScriptedEndpoint {
                    if (id == "r1") isReleased.await(10, TimeUnit.SECONDS)
                    if (id == "r1") respond() else awaitClose()
                }
                useEntry(endpoint, pool = "n") { entry ->
                    entry.connect().use { first ->
                        entry.connect().use { second ->
                            first.sendGet("/narrow/a", "r1")
                            endpoint.awaitRequest()
                            second.sendGet("/narrow/a", "r2")
                            entry.beginDrain()
                            isReleased.countDown()
                            first.readResponse().status shouldBe 200
                            checkRefusedElsewhere(second.readResponse())
                            endpoint.requests.map { it.header("X-Request-Id") } shouldBe listOf("r1")
                        }
                    }
                }
            }

            it("is not sent to another endpoint once the first one has refused it during the drain") {
                val isReleased = CountDownLatch(1)
                val requests = CountDownLatch(1)
                val handler: ScriptedEndpoint.Exchange.() -> Unit = {
                    if (requests.count > 0) {
                        requests.countDown()
                        isReleased.await(10, TimeUnit.SECONDS)
                        respond("503 Service Unavailable", headers = "X-Not-Executed: 1\r\n")
                    } else {
                        awaitClose()
                    }
                }
                val endpoints = listOf(ScriptedEndpoint(handler), ScriptedEndpoint(handler))
                useEntry(*endpoints.toTypedArray()) { entry ->
                    entry.connect().use { caller ->
                        caller.sendGet("/order/a", "r1")
                        requests.await(10, TimeUnit.SECONDS) shouldBe true
                        entry.beginDrain()
                        isReleased.countDown()
                        checkRefusedElsewhere(caller.readResponse())
                        endpoints.sumOf { it.requests.size } shouldBe 1
                    }
                }
            }
        }

        describe("a request that may be repeated and usually ends long before the drain does") {
            it("is served in the first part of the drain, although it may take longer than the drain") {
                useEntry(ScriptedEndpoint { respond() }) { entry ->
                    entry.connect().use { caller ->
                        entry.beginDrain()
                        caller.sendGet("/lookup/a", "r1")
                        caller.readResponse().status shouldBe 200
                    }
                }
            }
        }

        describe("a stream whose endpoint breaks off during the drain") {
            it("is continued by another endpoint, as its caller cannot be told that it has not run") {
                val isReleased = CountDownLatch(1)
                val handler: ScriptedEndpoint.Exchange.() -> Unit = {
                    startStream()
                    if (request.header("Last-Event-Id") == null) {
                        sendChunk("id: 0\ndata: a\n\n")
                        isReleased.await(10, TimeUnit.SECONDS)
                        closeConnection()
                    } else {
                        sendChunk("id: 1\ndata: b\n\n")
                        endStream()
                    }
                }
                useEntry(ScriptedEndpoint(handler), ScriptedEndpoint(handler)) { entry ->
                    entry.connect().use { caller ->
                        caller.sendGet("/resume/a", "r1")
                        // The first byte of the response shows that the stream has begun.
                        val first = caller.getInputStream().read()
                        entry.beginDrain()
                        isReleased.countDown()
                        val rest = caller.readResponse()
                        first shouldBe 'H'.code
                        rest.body shouldBe "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"
                    }
                }
            }
        }
    })
