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
        afterTest { system.sidecars.keys.forEach { system.setEndpointFault(it, "NONE") } }
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
                it("runs no order twice and reports none that took effect as not run") {
                    system.setEndpointFault("orders-0", fault, ""","factor":20.0,"delayMillis":500""")

                    val responses = sendAll(Kind.ORDER)

                    InvariantChecker.check(responses, system.effects(), listOf("record"), NON_IDEMPOTENT_STAGES)
                }

                it("returns complete responses to plans") {
                    system.setEndpointFault("advisor-0", fault, ""","factor":20.0,"delayMillis":500""")

                    val responses = sendAll(Kind.PLAN)

                    InvariantChecker.check(
                        responses,
                        system.effects(),
                        listOf("encode", "generate"),
                        NON_IDEMPOTENT_STAGES,
                    )
                }
            }
        }

        describe("an endpoint that reports that it did not run a call") {
            it("leaves no request unanswered while another endpoint works") {
                system.setEndpointFault("orders-0", "REFUSE")

                sendAll(Kind.ORDER).filterNot { it.isAnswered }.shouldBeEmpty()
            }
        }

        describe("an endpoint that truncates every response") {
            it("gives the caller the outcome unknown, never a truncated response") {
                listOf("orders-0", "orders-1").forEach { system.setEndpointFault(it, "CUT") }

                val responses = sendAll(Kind.ORDER)

                responses.map { it.outcome }.toSet() shouldBe setOf("unknown")
            }
        }
    })
