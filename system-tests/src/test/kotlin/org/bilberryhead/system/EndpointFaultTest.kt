package org.bilberryhead.system

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlin.time.Duration.Companion.seconds

class EndpointFaultTest :
    DescribeSpec({
        val system = TestSystem(examplePlan(deadline = 4.seconds))
        beforeSpec { system.start() }
        beforeTest { system.clearEffects() }
        afterTest { system.sidecars.keys.forEach { system.endpointFault(it, "NONE") } }
        afterSpec { system.close() }

        suspend fun sendAll(kind: String, count: Int = 10) =
            coroutineScope { List(count) { async { system.send(kind, entry = it % 2) } }.awaitAll() }

        listOf(
            "STRAGGLE",
            "BURST",
            "REORDER",
            "LATE_ANSWER",
            "FAIL_BEFORE_EFFECT",
            "FAIL_AFTER_EFFECT",
            "REFUSE",
            "SILENT",
            "SILENT_BEFORE_EFFECT",
            "CUT",
        ).forEach { fault ->
            describe("one endpoint of each pool with the fault $fault") {
                it("neither doubles an order nor refuses one that took effect as not run") {
                    system.endpointFault("orders-0", fault, ""","factor":20.0,"delayMillis":500""")

                    val answers = sendAll(Kind.ORDER)

                    Judge.check(answers, system.effects(), listOf("record"), ONCE)
                }

                it("gives whole answers to plans") {
                    system.endpointFault("advisor-0", fault, ""","factor":20.0,"delayMillis":500""")

                    val answers = sendAll(Kind.PLAN)

                    Judge.check(answers, system.effects(), listOf("encode", "generate"), ONCE)
                }
            }
        }

        describe("an endpoint that states that it did not run a call") {
            it("costs no caller its answer while another endpoint works") {
                system.endpointFault("orders-0", "REFUSE")

                sendAll(Kind.ORDER).filterNot { it.isAnswered }.shouldBeEmpty()
            }
        }

        describe("an endpoint that cuts every answer") {
            it("leaves the caller with unknown, never with half an answer") {
                listOf("orders-0", "orders-1").forEach { system.endpointFault(it, "CUT") }

                val answers = sendAll(Kind.ORDER)

                answers.map { it.outcome }.toSet() shouldBe setOf("unknown")
            }
        }
    })
