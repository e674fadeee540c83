package org.bilberryhead.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.testing.http.RawMessage
import java.util.concurrent.TimeUnit

private const val CUT = RawMessage.TRUNCATION_MARK

/** More than the sockets hold, so that the request is still being sent when its connection ends; in bytes. */
private const val LONG_BODY_BYTES = 8 * 1024 * 1024

/** Less than the socket of the entry holds, but more than that of an endpoint which does not read; in bytes. */
private const val SHORT_BODY_BYTES = 256 * 1024

/** Time in which the entry reads what was sent, so that a reset does not discard it, in milliseconds. */
private const val READ_MILLIS = 100L
private const val RUNS = 3

/** Where a reset of a connection shows first. */
private enum class ResetOrder(val bodyBytes: Int) {
    /** The request is still being written. */
    ON_WRITE(LONG_BODY_BYTES),

    /** The entry has handed the whole request to its socket, which has not sent all of it. */
    ON_READ(SHORT_BODY_BYTES),

    /** The request is still being written when the endpoint ends its side in order; the reset comes later. */
    AFTER_END_OF_STREAM(LONG_BODY_BYTES),

    /** As before, but at once. */
    WITH_END_OF_STREAM(LONG_BODY_BYTES),
}

private val configuration =
    LoopbackDeployment.CONFIGURATION.replace("\"max_body_bytes\":1000", "\"max_body_bytes\":$LONG_BODY_BYTES")

/** Sends the head of a response without a length and [body], which the entry then reads. */
private fun ScriptedEndpoint.Exchange.respondEarly(body: String) {
    write("HTTP/1.1 200 OK\r\n${soundHeaders(id)}\r\n$body")
    TimeUnit.MILLISECONDS.sleep(READ_MILLIS)
}

private fun ScriptedEndpoint.Exchange.reset(order: ResetOrder) {
    val endsInOrder = order == ResetOrder.AFTER_END_OF_STREAM || order == ResetOrder.WITH_END_OF_STREAM
    if (endsInOrder) endOutput()
    if (order == ResetOrder.AFTER_END_OF_STREAM) TimeUnit.MILLISECONDS.sleep(READ_MILLIS)
    resetConnection()
}

/** Runs [test] with an entry and one endpoint for each of [handlers]; these see requests whose bodies are not read. */
private fun deployEarly(
    vararg handlers: ScriptedEndpoint.Exchange.() -> Unit,
    test: (LoopbackDeployment, List<ScriptedEndpoint>) -> Unit,
) {
    val endpoints = handlers.map { ScriptedEndpoint(readsBodies = false, handler = it) }
    LoopbackDeployment(configuration, mapOf("p" to endpoints)).use { test(it, endpoints) }
    endpoints.forEach { it.close() }
}

private fun LoopbackDeployment.upload(path: String, bodyBytes: Int, id: String = "r1"): RawMessage {
    val head = "POST $path HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\nX-Api-Key: k\r\nX-Deadline-Ms: 5000\r\n"
    return send("${head}Content-Length: $bodyBytes\r\n\r\n${"a".repeat(bodyBytes)}").shouldNotBeNull()
}

class EarlyResponseTest :
    DescribeSpec({
        for (order in ResetOrder.entries) {
            val description = order.name.lowercase().replace('_', ' ')
            describe("a response without a length that comes before its request is read and is reset, $description") {
                it("is status 502 for the caller, is logged, and does not run again") {
                    repeat(RUNS) { run ->
                        val handler: ScriptedEndpoint.Exchange.() -> Unit = {
                            respondEarly("part")
                            reset(order)
                        }
                        RecordedDecisions().use { decisions ->
                            deployEarly(handler, handler) { entry, endpoints ->
                                val id = "early-$order-$run"
                                entry.upload("/order/a", order.bodyBytes, id).status shouldBe 502
                                endpoints.flatMap { it.requests } shouldHaveSize 1
                                decisions.of("attempt failed").filter { it["request"] == id } shouldHaveSize 1
                            }
                        }
                    }
                }

                it("is replaced by the response of another endpoint where the request may run again") {
                    val first: ScriptedEndpoint.Exchange.() -> Unit = {
                        respondEarly("part")
                        reset(order)
                    }
                    deployEarly(*firstThen(first) { respond(body = "whole") }) { entry, _ ->
                        entry.upload("/lookup/a", order.bodyBytes).body shouldBe "whole"
                    }
                }

                it("is cut off for the caller of a stream that can not be resumed") {
                    deployEarly({
                        respondEarly(SoundEvents.FIRST)
                        reset(order)
                    }) { entry, _ -> entry.upload("/stream/a", order.bodyBytes).body shouldBe SoundEvents.FIRST + CUT }
                }

                it("is resumed by another endpoint for the caller of a stream that can be resumed") {
                    val first: ScriptedEndpoint.Exchange.() -> Unit = {
                        respondEarly(SoundEvents.FIRST)
                        reset(order)
                    }
                    deployEarly(*firstThen(first) { resumeStream() }) { entry, _ ->
                        entry.upload("/resume/a", order.bodyBytes).body shouldBe SoundEvents.BOTH
                    }
                }
            }
        }

        describe("a response that comes before its request is read") {
            it("is complete when it has no length, and the endpoint ends its side in order and reads the request") {
                deployEarly({
                    respondEarly(SoundEvents.BOTH)
                    endOutput()
                    TimeUnit.MILLISECONDS.sleep(READ_MILLIS)
                    readRest()
                    closeConnection()
                }) { entry, _ ->
                    for (path in listOf("/order/a", "/lookup/a", "/stream/a", "/resume/a")) {
                        withClue(path) { entry.upload(path, LONG_BODY_BYTES).body shouldBe SoundEvents.BOTH }
                    }
                }
            }

            it("is complete when it has a length, although its connection is reset later") {
                deployEarly({
                    respond(body = SoundEvents.BOTH)
                    TimeUnit.MILLISECONDS.sleep(READ_MILLIS)
                    resetConnection()
                }) { entry, _ ->
                    for (path in listOf("/order/a", "/lookup/a", "/stream/a", "/resume/a")) {
                        withClue(path) { entry.upload(path, LONG_BODY_BYTES).body shouldBe SoundEvents.BOTH }
                    }
                }
            }
        }
    })
