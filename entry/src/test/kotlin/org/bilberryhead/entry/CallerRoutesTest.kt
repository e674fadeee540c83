package org.bilberryhead.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.content.OutgoingContent
import io.ktor.http.contentType
import io.ktor.utils.io.ByteReadChannel
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.IdempotencyKey
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.execution.Ticket
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.message.Failed
import org.bilberryhead.core.message.RefusalReason
import org.bilberryhead.core.message.Refused
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.platform.ClaimKey
import org.bilberryhead.platform.ClaimOutcome
import org.bilberryhead.platform.StoreError
import java.util.Base64

/** A call that must be rejected, and the expected [status] and [reason]. */
private class RejectedCall(
    val description: String,
    val status: Int,
    val reason: String,
    val path: String = "/v1/requests/plan",
    val configure: HttpRequestBuilder.() -> Unit = { jsonBody("{}") },
)

private fun HttpRequestBuilder.jsonBody(text: String) {
    contentType(ContentType.Application.Json)
    setBody(text)
}

private class ChunkedContent(private val bytes: ByteArray) : OutgoingContent.ReadChannelContent() {
    override fun readFrom(): ByteReadChannel = ByteReadChannel(bytes)
}

private val otherPoolTicket =
    Ticket.encode(AttemptLocation(EndpointId("generate-0"), TEST_INCARNATION, AttemptId("forged")))

private val rejectedCalls = listOf(
    RejectedCall("without a token", 401, "unauthorized") {
        headers.remove("Authorization")
        jsonBody("{}")
    },
    RejectedCall("with an unknown token", 401, "unauthorized") {
        headers["Authorization"] = "Bearer wrong"
        jsonBody("{}")
    },
    RejectedCall("of an unknown kind", 404, "unknown_kind", path = "/v1/requests/nothing"),
    RejectedCall("with a malformed deadline", 400, "bad_deadline") {
        header(TIMEOUT_HEADER, "soon")
        jsonBody("{}")
    },
    RejectedCall("with a negative deadline", 400, "bad_deadline") {
        header(TIMEOUT_HEADER, "-1s")
        jsonBody("{}")
    },
    RejectedCall("with a deadline past the route's maximum", 400, "bad_deadline") {
        header(TIMEOUT_HEADER, "31s")
        jsonBody("{}")
    },
    RejectedCall("without a body", 400, "malformed_body") { },
    RejectedCall("with truncated JSON", 400, "malformed_body") { jsonBody("""{"lake":"Donk""") },
    RejectedCall("with an unquoted string", 400, "malformed_body") { jsonBody("""{"lake":Donk}""") },
    RejectedCall("with a malformed number", 400, "malformed_body") { jsonBody("[01]") },
    RejectedCall("with bytes that are not UTF-8", 400, "malformed_body") {
        contentType(ContentType.Application.Json)
        setBody(byteArrayOf(0x22, 0xff.toByte(), 0x22))
    },
    RejectedCall("with a declared length over the maximum", 413, "body_too_large") {
        jsonBody("\"" + "x".repeat(MAXIMUM_TEST_BODY_BYTES.toInt()) + "\"")
    },
    RejectedCall("with chunks whose total size is over the maximum", 413, "body_too_large") {
        contentType(ContentType.Application.Json)
        setBody(ChunkedContent("\"${"x".repeat(MAXIMUM_TEST_BODY_BYTES.toInt())}\"".encodeToByteArray()))
    },
    RejectedCall("with another media type", 415, "unsupported_media_type") {
        contentType(ContentType.Text.Plain)
        setBody("{}")
    },
    RejectedCall("with a key that has a space", 400, "bad_key", path = "/v1/requests/refill") {
        header(KEY_HEADER, "two words")
        jsonBody("{}")
    },
    RejectedCall("with a malformed ticket as the key", 400, "bad_key", path = "/v1/requests/refill") {
        header(KEY_HEADER, "bt1.???")
        jsonBody("{}")
    },
    RejectedCall("with a ticket for an endpoint of another pool", 422, "ticket_misplaced", "/v1/requests/refill") {
        header(KEY_HEADER, otherPoolTicket)
        jsonBody("{}")
    },
    RejectedCall("for a ticket that is not needed", 422, "ticket_not_needed", path = "/v1/tickets/plan"),
)

class CallerRoutesTest :
    DescribeSpec({
        describe("a request that cannot be served") {
            for (rejected in rejectedCalls) {
                it("gets ${rejected.status} ${rejected.reason} and reaches no endpoint: ${rejected.description}") {
                    val callers = CallerInterface()

                    callers.exchange(rejected.path, configure = rejected.configure) { response ->
                        val problem = problemOf(response)
                        problem.status shouldBe rejected.status
                        problem.reason shouldBe rejected.reason
                        response.headers[REQUEST_ID_HEADER] shouldBe problem.requestId
                    }
                    callers.links.sent.shouldBeEmpty()
                }
            }

            it("gets the outcome not_run and a retry delay while there are no tables") {
                val callers = CallerInterface(tables = Tables(TableVersion.NONE))

                callers.exchange(configure = { jsonBody("{}") }) { response ->
                    val problem = problemOf(response)
                    problem.status shouldBe 503
                    problem.outcome shouldBe OUTCOME_NOT_RUN
                    response.headers[HttpHeaders.RetryAfter] shouldBe "1"
                }
            }

            it("gets the outcome not_run and a retry delay while the entry drains") {
                val callers = CallerInterface()
                callers.tracker.close()

                callers.exchange(configure = { jsonBody("{}") }) { response ->
                    val problem = problemOf(response)
                    problem.status shouldBe 503
                    problem.reason shouldBe "draining"
                    problem.outcome shouldBe OUTCOME_NOT_RUN
                    response.headers[HttpHeaders.RetryAfter] shouldBe "1"
                }
                callers.links.sent.shouldBeEmpty()
            }

            it("does not get the outcome not_run when an earlier submission of its key may have run") {
                val callers = CallerInterface()
                callers.tracker.close()

                callers.exchange("/v1/requests/refill", configure = {
                    header(KEY_HEADER, "order-17")
                    jsonBody("{}")
                }) { response -> problemOf(response).outcome shouldBe OUTCOME_UNKNOWN }
            }
        }

        describe("a request that reaches a sidecar") {
            it("gets the complete response") {
                val callers = CallerInterface(FakeLinks { FakeLinks.frames(it, "{\"lake\":", "\"Donk\"}") })

                callers.exchange(configure = { jsonBody("{}") }) { response ->
                    response.status.value shouldBe 200
                    response.bodyAsText() shouldBe "{\"lake\":\"Donk\"}"
                }
                callers.registry.find("bilberry.requests").tag("result", "in_time").timer().shouldNotBeNull()
            }

            it("gets the outcome unknown and is not repeatable after an internal error of the entry") {
                val callers = CallerInterface(FakeLinks { error("injected error") })

                callers.exchange("/v1/requests/refill", configure = { jsonBody("{}") }) { response ->
                    val problem = problemOf(response)
                    problem.status shouldBe 500
                    problem.outcome shouldBe OUTCOME_UNKNOWN
                    problem.repeatable shouldBe false
                }
                callers.tracker.requestsInFlight shouldBe 0
            }

            it("gets the outcome not_run and a retry delay when every sidecar refuses it") {
                val callers =
                    CallerInterface(FakeLinks { listOf(Refused(it.attempt, RefusalReason.QUEUE_FULL, 2_500)) })

                callers.exchange(configure = { jsonBody("{}") }) { response ->
                    problemOf(response).outcome shouldBe OUTCOME_NOT_RUN
                    response.headers.contains(HttpHeaders.RetryAfter) shouldBe true
                }
            }

            it("gets the outcome unknown and is not repeatable when the endpoint failed") {
                val callers = CallerInterface(FakeLinks { listOf(Failed(it.attempt, "status 500")) })

                callers.exchange("/v1/requests/refill", configure = { jsonBody("{}") }) { response ->
                    val problem = problemOf(response)
                    problem.outcome shouldBe OUTCOME_UNKNOWN
                    problem.repeatable shouldBe false
                    response.headers.contains(HttpHeaders.RetryAfter) shouldBe false
                }
            }
        }

        describe("a streamed response") {
            it("is sent as numbered parts and an end event") {
                val callers = CallerInterface(FakeLinks { FakeLinks.frames(it, "first\n", "second") })

                callers.exchange("/v1/requests/advice", configure = { jsonBody("{}") }) { response ->
                    response.headers[HttpHeaders.ContentType] shouldContain "text/event-stream"
                    val id = response.headers[REQUEST_ID_HEADER]
                    response.bodyAsText() shouldBe
                        "event: part\ndata: {\"number\":0,\"text\":\"first\\n\"}\n\n" +
                        "event: part\ndata: {\"number\":1,\"text\":\"second\"}\n\n" +
                        "event: end\ndata: {\"requestId\":\"$id\",\"parts\":2}\n\n"
                }
            }

            it("reassembles characters that are split between parts") {
                val bytes = "é".encodeToByteArray()
                val parts = listOf(bytes.copyOf(1), bytes.copyOfRange(1, 2))
                val callers = CallerInterface(FakeLinks { FakeLinks.binaryFrames(it, parts) })

                callers.exchange("/v1/requests/advice", configure = { jsonBody("{}") }) { response ->
                    response.bodyAsText() shouldContain "{\"number\":0,\"text\":\"é\"}"
                }
            }

            it("encodes bytes that are not UTF-8 in Base64") {
                val part = byteArrayOf(-1, -2)
                val callers = CallerInterface(FakeLinks { FakeLinks.binaryFrames(it, listOf(part)) })

                callers.exchange("/v1/requests/advice", configure = { jsonBody("{}") }) { response ->
                    response.bodyAsText() shouldContain "\"base64\":\"${Base64.getEncoder().encodeToString(part)}\""
                }
            }

            it("ends with an error and no end event when it cannot be completed") {
                val callers = CallerInterface(
                    FakeLinks { listOf(FakeLinks.frames(it, "a", "b").first(), Failed(it.attempt, "cut off")) },
                )

                callers.exchange("/v1/requests/advice", configure = { jsonBody("{}") }) { response ->
                    val body = response.bodyAsText()
                    body shouldContain "event: part"
                    body shouldContain "event: error"
                    body shouldContain "\"outcome\":\"unknown\""
                    body shouldNotContain "event: end"
                }
            }

            it("that is refused before its first part is an ordinary problem response") {
                val callers = CallerInterface(FakeLinks { listOf(Refused(it.attempt, RefusalReason.QUEUE_FULL)) })

                callers.exchange("/v1/requests/advice", configure = { jsonBody("{}") }) { response ->
                    problemOf(response).outcome shouldBe OUTCOME_NOT_RUN
                }
            }

            it("is sent as one body when the caller accepts only JSON") {
                val callers = CallerInterface(FakeLinks { FakeLinks.frames(it, "{", "}") })

                callers.exchange("/v1/requests/advice", configure = {
                    header(HttpHeaders.Accept, "application/json")
                    jsonBody("{}")
                }) { response -> response.bodyAsText() shouldBe "{}" }
            }
        }

        describe("a request with a key") {
            it("runs at the location in its ticket, without the store") {
                val callers = CallerInterface()
                callers.claims.error = StoreError.Refused("down")
                var ticket = ""

                callers.exchange("/v1/tickets/refill") { response ->
                    response.status.value shouldBe 201
                    ticket = Json.decodeFromString<TicketResponse>(response.bodyAsText()).ticket
                }
                repeat(2) {
                    callers.exchange("/v1/requests/refill", configure = {
                        header(KEY_HEADER, ticket)
                        jsonBody("{}")
                    }) { response -> response.status.value shouldBe 200 }
                }

                callers.links.dispatches.map { it.attempt }.distinct() shouldHaveSize 1
                callers.links.dispatches.map { Ticket.encode(locationOf(callers, it.attempt)) }.distinct() shouldBe
                    listOf(ticket)
            }

            it("runs as one attempt however often it is submitted with the key that the caller chose") {
                val callers = CallerInterface()

                repeat(2) {
                    callers.exchange("/v1/requests/refill", configure = {
                        header(KEY_HEADER, "order-17")
                        jsonBody("{\"bin\":4}")
                    }) { response -> response.status.value shouldBe 200 }
                }

                callers.links.dispatches.map { it.attempt }.distinct() shouldHaveSize 1
                callers.claims.claims[ClaimKey(TEST_ACCOUNT, IdempotencyKey("order-17"))]?.outcome shouldBe
                    ClaimOutcome.ANSWERED
            }

            it("is rejected when the key was used with another body") {
                val callers = CallerInterface()
                for ((body, status) in listOf("{\"bin\":4}" to 200, "{\"bin\":5}" to 422)) {
                    callers.exchange("/v1/requests/refill", configure = {
                        header(KEY_HEADER, "order-17")
                        jsonBody(body)
                    }) { response -> response.status.value shouldBe status }
                }

                callers.links.dispatches shouldHaveSize 1
            }

            it("is not dispatched while the store is down, and may be sent again") {
                val callers = CallerInterface()
                callers.claims.error = StoreError.OutcomeUnknown("lost")

                callers.exchange("/v1/requests/refill", configure = {
                    header(KEY_HEADER, "order-17")
                    jsonBody("{}")
                }) { response ->
                    val problem = problemOf(response)
                    problem.status shouldBe 503
                    problem.reason shouldBe "store_unavailable"
                    problem.repeatable shouldBe true
                    response.headers[HttpHeaders.RetryAfter] shouldBe "1"
                }
                callers.links.sent.shouldBeEmpty()
            }

            it("needs no claim on an idempotent route") {
                val callers = CallerInterface()
                callers.claims.error = StoreError.Refused("down")

                callers.exchange(configure = {
                    header(KEY_HEADER, "lookup-1")
                    jsonBody("{}")
                }) { response -> response.status.value shouldBe 200 }
                callers.claims.claims.shouldBeEmpty()
            }
        }
    })

private suspend fun problemOf(response: HttpResponse): Problem {
    response.headers[HttpHeaders.ContentType] shouldContain "application/problem+json"
    return Json.decodeFromString<Problem>(response.bodyAsText())
}

private fun locationOf(callers: CallerInterface, attempt: AttemptId): AttemptLocation {
    val (endpoint, message) = callers.links.sent.first { it.second.attempt == attempt }
    return AttemptLocation(endpoint, TEST_INCARNATION, message.attempt)
}
