package org.bilberryhead.forwarding.request

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.serving.ResponseTimeWindow
import org.bilberryhead.forwarding.ScriptedEndpoint
import java.util.concurrent.CountDownLatch
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private typealias Handler = ScriptedEndpoint.Exchange.() -> Unit

/** Delay of the hedges of the tests. */
private val DELAY = 50.milliseconds

private const val REQUEST_PATH = "/lookup/a"

/** An entry whose endpoints run the first attempt by [first] and the hedge by [hedge], whichever endpoint gets it. */
private fun withHedging(
    first: Handler,
    hedge: Handler,
    hedges: Int = 1,
    retrySlack: Double = 50.0,
    use: (AdmissionWithEndpoint, AtomicInteger) -> Unit,
) {
    val requests = AtomicInteger()
    val endpoints = List(3) { ScriptedEndpoint { if (requests.getAndIncrement() == 0) first() else hedge() } }
    try {
        AdmissionWithEndpoint(*endpoints.toTypedArray(), hedgeRatio = 0.2, retrySlack = retrySlack).use { entry ->
            entry.expectResponsesAfter(DELAY, hedges)
            use(entry, requests)
        }
    } finally {
        endpoints.forEach { it.close() }
    }
}

private fun AdmissionWithEndpoint.request(path: String = REQUEST_PATH) = RecordingWriter().also { serve(it, path) }

private fun RecordingWriter.bodyWithin(milliseconds: Long): String? =
    response.get(milliseconds, TimeUnit.MILLISECONDS)?.body?.decodeToString()

private fun ScriptedEndpoint.Exchange.refuse() = respond("503 Service Unavailable", headers = "X-Not-Executed: 1\r\n")

private fun ScriptedEndpoint.Exchange.respondAfter(milliseconds: Long, body: String) {
    TimeUnit.MILLISECONDS.sleep(milliseconds)
    respond(body = body)
}

class RequestHedgeTest :
    DescribeSpec({
        describe("a request whose first attempt is slow") {
            it("is answered by the hedge, and the connection of the slow attempt is closed") {
                val isClosed = CountDownLatch(1)
                withHedging(
                    first = { if (awaitClose()) isClosed.countDown() },
                    hedge = { respond(body = "hedge") },
                ) { entry, requests ->
                    entry.request().bodyWithin(1_000) shouldBe "hedge"
                    isClosed.await(1, TimeUnit.SECONDS) shouldBe true
                    requests.get() shouldBe 2
                    entry.hedgeCount("sent") shouldBe 1
                    entry.hedgeCount("won") shouldBe 1
                }
            }

            it("is answered by the first attempt when the hedge is slower, whose connection is closed") {
                val isClosed = CountDownLatch(1)
                withHedging(
                    first = { respondAfter(300, "first") },
                    hedge = { if (awaitClose()) isClosed.countDown() },
                ) { entry, _ ->
                    entry.request().bodyWithin(1_000) shouldBe "first"
                    isClosed.await(1, TimeUnit.SECONDS) shouldBe true
                    entry.hedgeCount("lost") shouldBe 1
                }
            }

            it("is answered once when both answers arrive at the same instant, and no answer reaches another request") {
                val bothArrived = CyclicBarrier(2)
                val answer: Handler = {
                    if (id == "r") bothArrived.await(5, TimeUnit.SECONDS)
                    respond(body = id)
                }
                withHedging(first = answer, hedge = answer) { entry, _ ->
                    entry.request().bodyWithin(1_000) shouldBe "r"
                    repeat(6) { index ->
                        val next = RecordingWriter().also { entry.serve(it, REQUEST_PATH, id = "n$index") }
                        next.bodyWithin(1_000) shouldBe "n$index"
                    }
                    entry.hedgeCount("won") + entry.hedgeCount("lost") shouldBe 1
                }
            }

            it("is not sent a third time when the first attempt fails while the hedge is running") {
                withHedging(
                    first = {
                        TimeUnit.MILLISECONDS.sleep(150)
                        closeConnection()
                    },
                    hedge = { respondAfter(400, "hedge") },
                ) { entry, requests ->
                    entry.request().bodyWithin(2_000) shouldBe "hedge"
                    requests.get() shouldBe 2
                    entry.hedgeCount("won") shouldBe 1
                }
            }

            it("gets the answer of the first attempt when the hedge fails or is refused meanwhile") {
                val failures = listOf<Handler>({ refuse() }, { closeConnection() }, { respond("500 Oops") })
                for (failure in failures) {
                    withHedging(first = { respondAfter(300, "first") }, hedge = failure) { entry, requests ->
                        entry.request().bodyWithin(2_000) shouldBe "first"
                        requests.get() shouldBe 2
                        entry.hedgeCount("failed") shouldBe 1
                    }
                }
            }

            it("is reported as possibly run when one attempt breaks off and the other is refused") {
                withHedging(
                    first = {
                        TimeUnit.MILLISECONDS.sleep(150)
                        closeConnection()
                    },
                    hedge = {
                        TimeUnit.MILLISECONDS.sleep(300)
                        refuse()
                    },
                ) { entry, requests ->
                    entry.request().statusWithin(2_000) shouldBe 502
                    // The route allows two attempts, of which the hedge was one.
                    requests.get() shouldBe 2
                }
            }

            it("leaves no attempt running when its caller disconnects") {
                val areClosed = CountDownLatch(2)
                val haveArrived = CountDownLatch(2)
                val silent: Handler = {
                    haveArrived.countDown()
                    if (awaitClose()) areClosed.countDown()
                }
                withHedging(first = silent, hedge = silent) { entry, _ ->
                    val listener = entry.serve(RecordingWriter(), REQUEST_PATH)
                    haveArrived.await(2, TimeUnit.SECONDS) shouldBe true
                    entry.onThread { listener?.callerDisconnected() }
                    areClosed.await(500, TimeUnit.MILLISECONDS) shouldBe true
                    entry.hedgeCount("abandoned") shouldBe 1
                }
            }

            it("leaves no attempt running when its time is over") {
                val areClosed = CountDownLatch(2)
                val silent: Handler = { if (awaitClose()) areClosed.countDown() }
                withHedging(first = silent, hedge = silent) { entry, requests ->
                    entry.request().statusWithin(5_000) shouldBe 504
                    areClosed.await(1, TimeUnit.SECONDS) shouldBe true
                    requests.get() shouldBe 2
                }
            }
        }

        describe("an endpoint for a hedge") {
            it("is in another data centre when it costs the same, since a slowdown may affect a whole data centre") {
                val endpoints = List(3) { index ->
                    ScriptedEndpoint { if (index == 0) awaitClose() else respond(body = "$index") }
                }
                val admission = AdmissionWithEndpoint(
                    *endpoints.toTypedArray(),
                    dataCentres = listOf("x", "x", "y"),
                    hedgeRatio = 0.2,
                )
                admission.use { entry ->
                    entry.expectResponsesAfter(DELAY, hedges = 1)
                    entry.request().bodyWithin(1_000) shouldBe "2"
                }
                endpoints.forEach { it.close() }
            }

            it("does not rest") {
                val first = ScriptedEndpoint { respondAfter(300, "first") }
                val resting = ScriptedEndpoint { respond(body = "resting") }
                // The helper lets the first of its endpoints rest.
                AdmissionWithEndpoint(resting, first, hedgeRatio = 0.2).use { entry ->
                    entry.rest(20.seconds)
                    entry.expectResponsesAfter(DELAY, hedges = 1)
                    entry.request().bodyWithin(1_000) shouldBe "first"
                    resting.requests.size shouldBe 0
                    entry.notHedgedCount("no_endpoint") shouldBe 1
                }
                first.close()
                resting.close()
            }
        }

        describe("a request that is not hedged") {
            val slow: Handler = { respondAfter(300, "first") }
            val other: Handler = { respond(body = "other") }

            for (path in listOf("/order/a", "/long/a")) {
                it("is one that may run only once: $path") {
                    withHedging(slow, other) { entry, requests ->
                        entry.request(path).bodyWithin(2_000) shouldBe "first"
                        requests.get() shouldBe 1
                    }
                }
            }

            it("is not one for want of samples after requests that may run once, as where few others come") {
                ScriptedEndpoint { respond() }.use { endpoint ->
                    AdmissionWithEndpoint(endpoint, hedgeRatio = 0.1).use { entry ->
                        repeat(ResponseTimeWindow.MINIMUM_SAMPLES) { entry.request("/order/a").bodyWithin(2_000) }
                        entry.request().bodyWithin(2_000) shouldBe "answer"
                        entry.notHedgedCount("few_samples") shouldBe 0
                    }
                }
            }

            it("is one beyond the limit of hedges") {
                withHedging(slow, other, hedges = 0) { entry, requests ->
                    entry.request().bodyWithin(2_000) shouldBe "first"
                    requests.get() shouldBe 1
                    entry.notHedgedCount("limit") shouldBe 1
                }
            }

            it("is one for which the retry budget has no retry") {
                withHedging(slow, other, retrySlack = 0.0) { entry, requests ->
                    entry.request().bodyWithin(2_000) shouldBe "first"
                    requests.get() shouldBe 1
                    entry.notHedgedCount("no_retry") shouldBe 1
                }
            }
        }

        describe("the retry budget") {
            it("has no retry left after a hedge has taken it") {
                withHedging(
                    first = { awaitClose() },
                    hedge = { if (id == "r") respond() else closeConnection() },
                    retrySlack = 1.2,
                ) { entry, requests ->
                    entry.request().statusWithin(1_000) shouldBe 200
                    val next = RecordingWriter().also { entry.serve(it, REQUEST_PATH, id = "next") }
                    next.statusWithin(1_000) shouldBe 502
                    requests.get() shouldBe 3
                }
            }
        }

        describe("a request that its endpoint answers in time") {
            it("is not hedged after its end") {
                withHedging(first = { respond() }, hedge = { respond() }) { entry, requests ->
                    entry.request().statusWithin(1_000) shouldBe 200
                    TimeUnit.MILLISECONDS.sleep(100)
                    requests.get() shouldBe 1
                    entry.hedgeCount("sent") shouldBe 0
                }
            }
        }
    })
