package org.bilberryhead.system

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

class ConnectionFaultTest :
    DescribeSpec({
        // Each test has its own system: an entry that has met a fault avoids the endpoint afterwards.
        lateinit var system: TestSystem
        beforeEach {
            system = TestSystem(ordersPlan(orders = 2, relayed = true, serviceTime = "1s"))
            system.start()
        }
        afterEach { system.close() }

        /** Sends orders, switches the relay once the endpoint works on one, and lets bytes pass again after [until]. */
        suspend fun sendUnder(mode: String, until: suspend () -> Unit): List<CallerAnswer> = coroutineScope {
            val sent = List(8) { async { system.send(Kind.ORDER, entry = it % 2) } }
            eventually(EVENT_LIMIT) { system.shouldBeRunning("orders-0") }
            system.relay("orders-0", mode)
            until()
            system.relay("orders-0", "PASS")
            sent.awaitAll()
        }

        describe("a connection that is cut while orders run") {
            it("costs no caller its answer once the sidecar can be asked again") {
                val answers = sendUnder("CUT") { }

                answers.filterNot { it.isAnswered }.shouldBeEmpty()
                Judge.check(answers, system.effects(), listOf("record"), ONCE)
            }
        }

        describe("a connection that goes silent for good while new ones work") {
            it("costs no caller its answer") {
                val answers = sendUnder("SILENT") { }

                answers.filterNot { it.isAnswered }.shouldBeEmpty()
                Judge.check(answers, system.effects(), listOf("record"), ONCE)
            }
        }

        listOf("HOLD_TO_TARGET", "HOLD_FROM_TARGET", "CUT").forEach { mode ->
            describe("the mode $mode until an order behind it has taken effect") {
                it("doubles nothing and makes no refusal false") {
                    val answers = sendUnder(mode) {
                        eventually(EVENT_LIMIT) { system.effects().map { it.endpoint } shouldContain "orders-0" }
                    }

                    Judge.check(answers, system.effects(), listOf("record"), ONCE)
                }
            }
        }

        describe("bytes that arrive late") {
            it("cost no caller its answer") {
                system.relay("orders-0", "DELAY")

                val answers = coroutineScope {
                    List(8) { async { system.send(Kind.ORDER, entry = it % 2) } }.awaitAll()
                }

                answers.filterNot { it.isAnswered }.shouldBeEmpty()
                Judge.check(answers, system.effects(), listOf("record"), ONCE)
            }
        }
    })
