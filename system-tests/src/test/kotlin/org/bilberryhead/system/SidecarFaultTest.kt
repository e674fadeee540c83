package org.bilberryhead.system

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

class SidecarFaultTest :
    DescribeSpec({
        val system = TestSystem(ordersPlan(orders = 2, serviceTime = "1s"))
        beforeSpec { system.start() }
        beforeTest { system.clearEffects() }
        afterSpec { system.close() }

        suspend fun restart(endpoint: String) {
            system.sidecars.getValue(endpoint).kill()
            system.startSidecar(endpoint)
            repeat(2) { system.awaitEntry(it) }
        }

        describe("a sidecar that is killed while orders run") {
            it("runs no order twice and reports none that took effect as not run") {
                val responses = coroutineScope {
                    val sent = List(8) { async { system.send(Kind.ORDER, entry = it % 2) } }
                    eventually(EVENT_TIMEOUT) { system.shouldBeRunning("orders-0") }
                    system.sidecars.getValue("orders-0").signal(Signal.KILL)
                    sent.awaitAll()
                }

                InvariantChecker.check(responses, system.effects(), listOf("record"), NON_IDEMPOTENT_STAGES)
                restart("orders-0")
            }
        }

        describe("a sidecar that is frozen and resumes") {
            it("runs no order twice and reports none that took effect as not run") {
                system.sidecars.getValue("orders-0").signal(Signal.STOP)
                val responses = coroutineScope {
                    val sent = List(8) { async { system.send(Kind.ORDER, entry = it % 2) } }
                    repeat(2) { eventually(EVENT_TIMEOUT) { system.shouldBeDisconnected("orders-0", entry = it) } }
                    val later = List(2) { async { system.send(Kind.ORDER, entry = it % 2) } }
                    eventually(EVENT_TIMEOUT) { system.effects().shouldNotBeEmpty() }
                    system.sidecars.getValue("orders-0").signal(Signal.CONT)
                    (sent + later).awaitAll()
                }

                InvariantChecker.check(responses, system.effects(), listOf("record"), NON_IDEMPOTENT_STAGES)
                repeat(2) { system.awaitEntry(it) }
            }
        }

        describe("a sidecar that is terminated under load") {
            it("interrupts no request and receives no new work") {
                val responses = coroutineScope {
                    // Exceeds the concurrency of one endpoint, so that both endpoints run some of the orders.
                    val sent = List(16) { async { system.send(Kind.ORDER, entry = it % 2) } }
                    eventually(EVENT_TIMEOUT) { system.shouldBeRunning("orders-0") }
                    system.sidecars.getValue("orders-0").signal(Signal.TERM)
                    sent.awaitAll()
                }
                system.sidecars.getValue("orders-0").awaitExit()

                responses.filterNot { it.isAnswered }.shouldBeEmpty()
                InvariantChecker.check(responses, system.effects(), listOf("record"), NON_IDEMPOTENT_STAGES)

                system.clearEffects()
                val later = coroutineScope { List(4) { async { system.send(Kind.ORDER, entry = it % 2) } }.awaitAll() }
                later.filterNot { it.isAnswered }.shouldBeEmpty()
                system.effects().map { it.endpoint }.toSet() shouldBe setOf("orders-1")
                system.effects() shouldHaveSize 4
                restart("orders-0")
            }
        }
    })
