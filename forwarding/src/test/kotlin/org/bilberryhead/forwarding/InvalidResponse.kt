package org.bilberryhead.forwarding

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.describeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import org.bilberryhead.core.testing.http.RawMessage
import org.bilberryhead.forwarding.http.ExchangeOutcome
import java.nio.charset.StandardCharsets
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val CUT = RawMessage.TRUNCATION_MARK

/** The events of a stream that is sound. */
internal object SoundEvents {
    const val FIRST = "id: 1\ndata: a\n\n"
    const val SECOND = "id: 2\ndata: b\n\n"
    const val BOTH = FIRST + SECOND
}

/** The headers of a sound response to the request [id], but for those that say where its body ends. */
internal fun soundHeaders(id: String) = "X-Request-Id: $id\r\nX-Response-Stamp: s\r\n"

/**
 * Bytes that are no response by the grammar, although they look like one.
 *
 * @property reason part of the reason that the entry logs
 * @property sentEvents events at the beginning of the body that come before what is invalid
 * @property textFor the bytes, one for each character, in response to the request with an id
 */
internal class InvalidResponse(
    val description: String,
    val reason: String,
    val sentEvents: String = "",
    val textFor: (id: String) -> String,
)

/** Time in which the entry must have closed the connection of an invalid response, in seconds. */
private const val CLOSE_SECONDS = 2L

/** Runs [check] for each response, and reports all that fail. */
private fun forEach(responses: List<InvalidResponse>, check: (InvalidResponse) -> Unit) = assertSoftly {
    for (response in responses) withClue(response.description) { check(response) }
}

/** Sends [response] and leaves the connection open, as a response with an end does; counts down when it is closed. */
private fun ScriptedEndpoint.Exchange.play(response: InvalidResponse, closed: CountDownLatch = CountDownLatch(1)) {
    write(response.textFor(id).toByteArray(StandardCharsets.ISO_8859_1))
    if (awaitClose()) closed.countDown()
    closeConnection()
}

/** Sends the events that the caller lacks. */
internal fun ScriptedEndpoint.Exchange.resumeStream() {
    startStream()
    when (request.header("Last-Event-Id")) {
        null -> sendChunk(SoundEvents.BOTH)
        "1" -> sendChunk(SoundEvents.SECOND)
    }
    endStream()
}

/** The tests of what callers read, and the entry logs, when each of [responses] is sent to the entry. */
internal fun testsOfInvalidResponses(responses: List<InvalidResponse>) = describeSpec {
    /** Runs [test] for each response with an entry and endpoints that play [handlers] of the response. */
    fun forEachResponse(
        handlersOf: (InvalidResponse) -> Array<ScriptedEndpoint.Exchange.() -> Unit>,
        test: (InvalidResponse, LoopbackDeployment, List<ScriptedEndpoint>) -> Unit,
    ) {
        forEach(responses) { response ->
            deploy(*handlersOf(response)) { entry, endpoints -> test(response, entry, endpoints) }
        }
    }

    describe("a response that is invalid by the grammar") {
        it("gives the caller status 502, is logged with its cause, and ends its connection; nothing runs again") {
            forEach(responses) { response ->
                val closed = CountDownLatch(1)
                val handler: ScriptedEndpoint.Exchange.() -> Unit = { play(response, closed) }
                RecordedDecisions().use { decisions ->
                    deploy(handler, handler) { entry, endpoints ->
                        val id = "invalid-${responses.indexOf(response)}"
                        entry.get("/order/a", id).shouldNotBeNull().status shouldBe 502
                        closed.await(CLOSE_SECONDS, TimeUnit.SECONDS) shouldBe true
                        endpoints.flatMap { it.requests } shouldHaveSize 1
                        val failures = decisions.of("attempt failed").filter { it["request"] == id }
                        failures.map { it["reason"] }.joinToString() shouldContain response.reason
                    }
                }
            }
        }

        it("is replaced by the response of another endpoint where the request may run again") {
            forEachResponse({ response -> firstThen({ play(response) }) { respond(body = "whole") } }) { _, entry, _ ->
                val received = entry.get("/lookup/a").shouldNotBeNull()
                received.status shouldBe 200
                received.body shouldBe "whole"
            }
        }

        it("never reaches the caller of a stream that can not be resumed") {
            forEachResponse({ response -> arrayOf({ play(response) }) }) { response, entry, _ ->
                val received = entry.get("/stream/a").shouldNotBeNull()
                if (response.sentEvents.isEmpty()) {
                    received.status shouldBe 502
                } else {
                    received.body shouldBe response.sentEvents + CUT
                }
            }
        }

        it("never reaches the caller of a stream that another endpoint resumes") {
            forEachResponse({ response -> firstThen({ play(response) }, { resumeStream() }) }) { response, entry, _ ->
                // No endpoint can tell whether the caller has received the last event.
                val isFinal = response.sentEvents == SoundEvents.BOTH
                entry.get("/resume/a").shouldNotBeNull().body shouldBe SoundEvents.BOTH + (if (isFinal) CUT else "")
            }
        }

        it("is an unknown outcome of a call to the store, a peer or a stage") {
            val thread = newEventThread()
            forEach(responses) { response ->
                ScriptedEndpoint { play(response) }.use { server ->
                    outcomeOfCall(thread, server).shouldBeInstanceOf<ExchangeOutcome.Unknown>()
                }
            }
            thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
        }
    }
}
