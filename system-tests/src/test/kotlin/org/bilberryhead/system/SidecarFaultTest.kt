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
            it("leaves no order doubled and no refusal false") {
                val answers = coroutineScope {
                    val sent = List(8) { async { system.send(Kind.ORDER, entry = it % 2) } }
                    eventually(EVENT_LIMIT) { system.shouldBeRunning("orders-0") }
                    system.sidecars.getValue("orders-0").signal(Signal.KILL)
                    sent.awaitAll()
                }

                Judge.check(answers, system.effects(), listOf("record"), ONCE)
                restart("orders-0")
            }
        }

        describe("a sidecar that is frozen and wakes up") {
            it("does not run an order again that ran meanwhile, and lies to nobody") {
                system.sidecars.getValue("orders-0").signal(Signal.STOP)
                val answers = coroutineScope {
                    val sent = List(8) { async { system.send(Kind.ORDER, entry = it % 2) } }
                    repeat(2) { eventually(EVENT_LIMIT) { system.shouldBeDisconnected("orders-0", entry = it) } }
                    val later = List(2) { async { system.send(Kind.ORDER, entry = it % 2) } }
                    eventually(EVENT_LIMIT) { system.effects().shouldNotBeEmpty() }
                    system.sidecars.getValue("orders-0").signal(Signal.CONT)
                    (sent + later).awaitAll()
                }

                Judge.check(answers, system.effects(), listOf("record"), ONCE)
                repeat(2) { system.awaitEntry(it) }
            }
        }

        describe("a sidecar that is asked to end under load") {
            it("cuts no request off and gets no new work") {
                val answers = coroutineScope {
                    // More than one endpoint takes at once, so that both work whatever the entries prefer.
                    val sent = List(16) { async { system.send(Kind.ORDER, entry = it % 2) } }
                    eventually(EVENT_LIMIT) { system.shouldBeRunning("orders-0") }
                    system.sidecars.getValue("orders-0").signal(Signal.TERM)
                    sent.awaitAll()
                }
                system.sidecars.getValue("orders-0").awaitEnd()

                answers.filterNot { it.isAnswered }.shouldBeEmpty()
                Judge.check(answers, system.effects(), listOf("record"), ONCE)

                system.clearEffects()
                val later = coroutineScope { List(4) { async { system.send(Kind.ORDER, entry = it % 2) } }.awaitAll() }
                later.filterNot { it.isAnswered }.shouldBeEmpty()
                system.effects().map { it.endpoint }.toSet() shouldBe setOf("orders-1")
                system.effects() shouldHaveSize 4
                restart("orders-0")
            }
        }
    })
