package org.bilberryhead.forwarding.request

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.bilberryhead.forwarding.ScriptedEndpoint
import kotlin.time.Duration.Companion.seconds

class RestWhileConnectingTest :
    DescribeSpec({
        describe("an endpoint that begins to rest while a connection to it is opened") {
            it("gets no request, and does not count as failed") {
                ScriptedEndpoint { respond() }.use { endpoint ->
                    AdmissionWithEndpoint(endpoint).use { entry ->
                        val writer = RecordingWriter()
                        entry.onThread {
                            entry.serve(writer)
                            entry.rest(20.seconds)
                        }
                        writer.statusWithin(2_000) shouldBe 503
                        endpoint.requests.shouldBeEmpty()
                        entry.failureRate shouldBe 0.0
                    }
                }
            }
        }
    })
