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

        describe("the whole path") {
            mapOf(
                Kind.PLAN to listOf("encode", "generate"),
                Kind.ORDER to listOf("record"),
                Kind.STATUS to listOf("lookup"),
            ).forEach { (kind, stages) ->
                it("answers $kind through both entries, each caller with its own answer") {
                    val answers = coroutineScope { List(20) { async { system.send(kind, entry = it % 2) } }.awaitAll() }

                    answers.filterNot { it.isAnswered }.shouldBeEmpty()
                    Judge.check(answers, system.effects(), stages, ONCE)
                }
            }

            it("passes a streamed answer on with an explicit end") {
                val answer = system.send(Kind.SUMMARY, headers = mapOf("Accept" to "text/event-stream"))

                answer.status shouldBe 200
                answer.body shouldContain "event: part"
                answer.body shouldContain "event: end"
            }

            it("rejects what it can not read, and no endpoint sees it") {
                val unknown = system.send("no-such-kind")
                val malformed = system.send(Kind.ORDER, body = "{")
                val badDeadline = system.send(Kind.ORDER, headers = mapOf("X-Request-Timeout" to "soon"))

                listOf(unknown, malformed, badDeadline).map { it.status } shouldBe listOf(404, 400, 400)
                system.effects().shouldBeEmpty()
            }
        }
    })
