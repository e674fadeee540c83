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
        // Each test has its own system, because after a fault an entry avoids the endpoint.
        lateinit var system: TestSystem
        beforeEach {
            system = TestSystem(ordersPlan(orders = 2, relayed = true, serviceTime = "1s"))
            system.start()
        }
        afterEach { system.close() }

        /** Sends orders, sets the relay to [mode] while the endpoint runs one of them, and to PASS after [until]. */
        suspend fun sendDuringFault(mode: String, until: suspend () -> Unit): List<CallerResponse> = coroutineScope {
            val sent = List(8) { async { system.send(Kind.ORDER, entry = it % 2) } }
            eventually(EVENT_TIMEOUT) { system.shouldBeRunning("orders-0") }
            system.setRelayMode("orders-0", mode)
            until()
            system.setRelayMode("orders-0", "PASS")
            sent.awaitAll()
        }

        describe("a connection that breaks while orders run") {
            it("leaves no request unanswered once the sidecar can be queried again") {
                val responses = sendDuringFault("CUT") { }

                responses.filterNot { it.isAnswered }.shouldBeEmpty()
                InvariantChecker.check(responses, system.effects(), listOf("record"), NON_IDEMPOTENT_STAGES)
            }
        }

        describe("a connection that stays silent while new connections work") {
            it("leaves no request unanswered") {
                val responses = sendDuringFault("SILENT") { }

                responses.filterNot { it.isAnswered }.shouldBeEmpty()
                InvariantChecker.check(responses, system.effects(), listOf("record"), NON_IDEMPOTENT_STAGES)
            }
        }

        listOf("HOLD_TO_TARGET", "HOLD_FROM_TARGET", "CUT").forEach { mode ->
            describe("a connection in relay mode $mode until an order at the endpoint has taken effect") {
                it("runs no order twice and reports none that took effect as not run") {
                    val responses = sendDuringFault(mode) {
                        eventually(EVENT_TIMEOUT) { system.effects().map { it.endpoint } shouldContain "orders-0" }
                    }

                    InvariantChecker.check(responses, system.effects(), listOf("record"), NON_IDEMPOTENT_STAGES)
                }
            }
        }

        describe("a connection that delays bytes") {
            it("leaves no request unanswered") {
                system.setRelayMode("orders-0", "DELAY")

                val responses = coroutineScope {
                    List(8) { async { system.send(Kind.ORDER, entry = it % 2) } }.awaitAll()
                }

                responses.filterNot { it.isAnswered }.shouldBeEmpty()
                InvariantChecker.check(responses, system.effects(), listOf("record"), NON_IDEMPOTENT_STAGES)
            }
        }
    })
