package org.bilberryhead.forwarding

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.slf4j.LoggerFactory
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val WHOLE_STREAM = "id: 0\ndata: a\n\nid: 1\ndata: a\n\n"

/** A silence that a sound endpoint may keep, longer than the objectives of the routes, in milliseconds. */
private const val SILENCE_MILLIS = 1_300L

/** A response time that makes other endpoints preferable, also for some time after they have failed. */
private const val SLOW_RESPONSE_MILLIS = 2_000L

private val configuration = LoopbackDeployment.CONFIGURATION.replace(
    """{"name":"lookup"""",
    """
    {"name":"brisk","host":"h","prefix":"/brisk/","route_type":"idempotent","timeout_ms":4000,"slo_ms":1000,"service":"p",
     "max_attempts":2},
    {"name":"brisk-stream","host":"h","prefix":"/brisk-stream/","route_type":"streaming","resumable":true,
     "timeout_ms":5000,"slo_ms":1000,"service":"p","max_attempts":2},
    {"name":"restless","host":"h","prefix":"/restless/","route_type":"streaming","resumable":true,"timeout_ms":5000,
     "slo_ms":100,"service":"p","max_attempts":3},
    {"name":"lookup"""",
)

class SilentEndpointTest :
    DescribeSpec({
        /** Deploys [count] endpoints; the handler gets the number of the request among those of all endpoints. */
        fun deployWith(
            count: Int,
            handler: ScriptedEndpoint.Exchange.(Int) -> Unit,
            use: (LoopbackDeployment, AtomicInteger) -> Unit,
        ) {
            val requests = AtomicInteger()
            val endpoints = List(count) { ScriptedEndpoint { handler(requests.getAndIncrement()) } }
            try {
                LoopbackDeployment(configuration, mapOf("p" to endpoints)).use { use(it, requests) }
            } finally {
                endpoints.forEach { it.close() }
            }
        }

        fun ScriptedEndpoint.Exchange.refuse() = respond("503 Service Unavailable", headers = "X-Not-Executed: 1\r\n")

        fun ScriptedEndpoint.Exchange.sendEvents(ids: Iterable<Int>) = ids.forEach { sendChunk("id: $it\ndata: a\n\n") }

        describe("a request without a response whose endpoint is silent while another one refuses it") {
            it("gets its response when it may be repeated") {
                deployWith(2, { index ->
                    if (index > 0) return@deployWith refuse()
                    TimeUnit.MILLISECONDS.sleep(SILENCE_MILLIS)
                    respond()
                }) { entry, requests ->
                    entry.get("/brisk/a").shouldNotBeNull().head shouldContain " 200 "
                    requests.get() shouldBe 2
                }
            }

            it("gets its stream when it may be resumed") {
                deployWith(2, { index ->
                    if (index > 0) return@deployWith refuse()
                    startStream()
                    TimeUnit.MILLISECONDS.sleep(SILENCE_MILLIS)
                    sendEvents(0..1)
                    endStream()
                }) { entry, requests ->
                    entry.get("/brisk-stream/a").shouldNotBeNull().body shouldBe WHOLE_STREAM
                    requests.get() shouldBe 2
                }
            }
        }

        describe("a request without a response whose endpoint is silent while another one cannot be reached") {
            it("is sent to a third one next, though that is slower") {
                val requests = AtomicInteger()
                val endpoints = List(3) {
                    ScriptedEndpoint {
                        when (requests.getAndIncrement()) {
                            0 -> {
                                TimeUnit.MILLISECONDS.sleep(SLOW_RESPONSE_MILLIS)
                                respond()
                            }

                            1 -> awaitClose()
                            else -> respond()
                        }
                    }
                }
                endpoints.last().close()
                try {
                    LoopbackDeployment(configuration, mapOf("p" to endpoints)).use { entry ->
                        entry.get("/lookup/a", "r1").shouldNotBeNull().head shouldContain " 200 "
                        entry.get("/brisk/a", "r2").shouldNotBeNull().head shouldContain " 200 "
                    }
                } finally {
                    endpoints.forEach { it.close() }
                }
            }

            it("is logged as sent only where it was sent") {
                val unreachable = ScriptedEndpoint { respond() }
                val silent = ScriptedEndpoint {
                    TimeUnit.MILLISECONDS.sleep(SILENCE_MILLIS)
                    respond()
                }
                unreachable.close()
                val lines = CopyOnWriteArrayList<ILoggingEvent>()
                val appender = object : AppenderBase<ILoggingEvent>() {
                    override fun append(event: ILoggingEvent) {
                        lines += event
                    }
                }
                val logger = LoggerFactory.getLogger("decisions") as Logger
                appender.start()
                logger.addAppender(appender)
                try {
                    LoopbackDeployment(configuration, mapOf("p" to listOf(silent, unreachable))).use { entry ->
                        entry.get("/brisk/a", "logged").shouldNotBeNull().head shouldContain " 200 "
                    }
                } finally {
                    logger.detachAppender(appender)
                    silent.close()
                }
                val sent = lines.filter { it.message == "request sent" }
                    .map { line -> line.keyValuePairs.associate { it.key to it.value } }
                    .filter { it["request"] == "logged" }
                sent.map { it["endpoint"] to it["attempt"] } shouldBe listOf("p-0" to "1")
            }
        }

        describe("a stream whose replacement fails after its silent endpoint has been ended") {
            val failures: Map<String, ScriptedEndpoint.Exchange.() -> Unit> =
                mapOf("refuses" to { refuse() }, "breaks off" to { closeConnection() })
            for ((description, failure) in failures) {
                for (delayMillis in listOf(400L, 800L)) {
                    it("is resumed at a third endpoint when the replacement $description after $delayMillis ms") {
                        deployWith(3, { index ->
                            if (index == 1) {
                                TimeUnit.MILLISECONDS.sleep(delayMillis)
                                return@deployWith failure()
                            }
                            startStream()
                            if (index == 0) {
                                sendEvents(0..0)
                                awaitClose()
                            } else {
                                sendEvents(1..1)
                                endStream()
                            }
                        }) { entry, requests ->
                            entry.get("/restless/a").shouldNotBeNull().body shouldBe WHOLE_STREAM
                            requests.get() shouldBe 3
                        }
                    }
                }
            }
        }

        describe("a stream that two endpoints in turn leave silent") {
            it("ends its exchanges with both when a third one has resumed it") {
                val closed = CountDownLatch(2)
                deployWith(3, { index ->
                    startStream()
                    if (index < 2) {
                        if (index == 0) sendEvents(0..0)
                        if (awaitClose()) closed.countDown()
                    } else {
                        sendEvents(1..1)
                        endStream()
                    }
                }) { entry, _ ->
                    entry.get("/restless/a", headers = "X-Deadline-Ms: 9000\r\n").shouldNotBeNull().body shouldBe
                        WHOLE_STREAM
                    closed.await(1, TimeUnit.SECONDS) shouldBe true
                }
            }

            it("waits for the endpoint that resumes it as long as between two events") {
                deployWith(3, { index ->
                    startStream()
                    when (index) {
                        0 -> {
                            sendEvents(0..0)
                            closeConnection()
                        }

                        1 -> {
                            TimeUnit.MILLISECONDS.sleep(SILENCE_MILLIS)
                            sendEvents(1..1)
                            endStream()
                        }

                        else -> closeConnection()
                    }
                }) { entry, requests ->
                    entry.get("/restless/a").shouldNotBeNull().body shouldBe WHOLE_STREAM
                    requests.get() shouldBe 2
                }
            }
        }
    })
