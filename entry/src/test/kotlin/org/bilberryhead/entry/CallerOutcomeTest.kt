package org.bilberryhead.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.execution.Ticket
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.message.AttemptOutcome
import org.bilberryhead.core.message.OutcomeReport
import org.bilberryhead.core.message.Refused
import org.bilberryhead.platform.StoreError

class CallerOutcomeTest :
    DescribeSpec({
        describe("the outcome of a key") {
            val location = AttemptLocation(EndpointId("record-0"), TEST_INCARNATION, AttemptId("t"))
            val moved = AttemptLocation(EndpointId("record-1"), TEST_INCARNATION, AttemptId("u"))
            val reports = listOf(
                AttemptOutcome.NEVER_SEEN to "not_run_yet",
                AttemptOutcome.NOT_RUN to "not_run_yet",
                AttemptOutcome.RUNNING to "running",
                AttemptOutcome.ANSWERED to "answered",
                AttemptOutcome.FAILED to "unknown",
                AttemptOutcome.FORGOTTEN to "unknown",
            )
            for ((known, reported) in reports) {
                it("is $reported when the sidecar reports $known, and nothing is dispatched") {
                    val callers = CallerInterface()
                    callers.links.outcomes[location] = OutcomeReport(location.attempt, known)

                    callers.exchange("/v1/outcomes/${Ticket.encode(location)}", HttpMethod.Get) { response ->
                        response.bodyAsText() shouldBe "{\"outcome\":\"$reported\"}"
                    }
                    callers.links.sent.shouldBeEmpty()
                }
            }

            it("is looked up at the location that the attempt was moved to") {
                val callers = CallerInterface()
                callers.links.outcomes[location] = OutcomeReport(location.attempt, AttemptOutcome.NOT_RUN, moved)
                callers.links.outcomes[moved] = OutcomeReport(moved.attempt, AttemptOutcome.ANSWERED)

                callers.exchange("/v1/outcomes/${Ticket.encode(location)}", HttpMethod.Get) { response ->
                    response.bodyAsText() shouldBe "{\"outcome\":\"answered\"}"
                }
            }

            it("is unknown while the claim of the key cannot be read from the store") {
                val callers = CallerInterface()
                callers.claims.error = StoreError.Refused("down")

                callers.exchange("/v1/outcomes/order-17", HttpMethod.Get) { response ->
                    response.bodyAsText() shouldBe "{\"outcome\":\"unknown\"}"
                }
            }
        }
    })
