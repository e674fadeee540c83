package org.bilberryhead.forwarding.request

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.bilberryhead.forwarding.ScriptedEndpoint

private fun AdmissionWithEndpoint.answer(failsBefore: Boolean = false, failsAfter: Boolean = false): RecordingWriter =
    RecordingWriter().also { serve(it, failsBefore = failsBefore, failsAfter = failsAfter) }

class UnexpectedFailureTest :
    DescribeSpec({
        describe("an exception that was not expected") {
            it("before a request is started ends it as not run") {
                ScriptedEndpoint { respond() }.use { endpoint ->
                    AdmissionWithEndpoint(endpoint).use { entry ->
                        entry.answer(failsBefore = true).statusWithin(1_000) shouldBe 503
                        endpoint.requests.shouldBeEmpty()
                    }
                }
            }

            it("when the connection to its endpoint has opened ends a request at once as unknown") {
                ScriptedEndpoint { respond() }.use { endpoint ->
                    AdmissionWithEndpoint(endpoint).use { entry ->
                        entry.answer(failsAfter = true).statusWithin(1_000) shouldBe 502
                    }
                }
            }

            it("at the deadline of a request does not leave it without an answer") {
                ScriptedEndpoint { awaitClose() }.use { endpoint ->
                    AdmissionWithEndpoint(endpoint).use { entry ->
                        val writer = entry.answer()
                        endpoint.awaitRequest()
                        entry.clock.fails = true
                        writer.statusWithin(5_000) shouldBe 502
                    }
                }
            }
        }
    })
