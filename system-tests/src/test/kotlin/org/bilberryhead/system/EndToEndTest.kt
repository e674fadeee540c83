package org.bilberryhead.system

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

class EndToEndTest :
    DescribeSpec({
        val system = TestSystem(examplePlan())
        beforeSpec { system.start() }
        beforeTest { system.clearEffects() }
        afterSpec { system.close() }

        describe("the complete path") {
            mapOf(
                Kind.PLAN to listOf("encode", "generate"),
                Kind.ORDER to listOf("record"),
                Kind.STATUS to listOf("lookup"),
            ).forEach { (kind, stages) ->
                it("answers $kind through both entries, each caller with the response to its own request") {
                    val responses =
                        coroutineScope { List(20) { async { system.send(kind, entry = it % 2) } }.awaitAll() }

                    responses.filterNot { it.isAnswered }.shouldBeEmpty()
                    InvariantChecker.check(responses, system.effects(), stages, NON_IDEMPOTENT_STAGES)
                }
            }

            it("forwards a streamed response with an explicit end") {
                val response = system.send(Kind.SUMMARY, headers = mapOf("Accept" to "text/event-stream"))

                response.status shouldBe 200
                response.body shouldContain "event: part"
                response.body shouldContain "event: end"
            }

            it("rejects invalid requests before any endpoint receives them") {
                val unknown = system.send("no-such-kind")
                val malformed = system.send(Kind.ORDER, body = "{")
                val badDeadline = system.send(Kind.ORDER, headers = mapOf("X-Request-Timeout" to "soon"))

                listOf(unknown, malformed, badDeadline).map { it.status } shouldBe listOf(404, 400, 400)
                system.effects().shouldBeEmpty()
            }
        }
    })
