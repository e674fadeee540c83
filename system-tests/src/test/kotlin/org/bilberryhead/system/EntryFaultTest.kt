package org.bilberryhead.system

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.bilberryhead.daemon.EXIT_CANNOT_SERVE

class EntryFaultTest :
    DescribeSpec({
        val system = TestSystem(ordersPlan(orders = 2, serviceTime = "1s"))
        beforeSpec { system.start() }
        beforeTest { system.clearEffects() }
        afterTest {
            system.setStoreFault("NONE")
            system.entries.indices.filterNot { system.entries[it].isAlive }.forEach { system.startEntry(it) }
            system.entries.indices.forEach { system.awaitEntry(it) }
        }
        afterSpec { system.close() }

        describe("an entry that is terminated under load") {
            it("interrupts no request") {
                val responses = coroutineScope {
                    val sent = List(8) { async { system.send(Kind.ORDER, entry = 1) } }
                    eventually(EVENT_TIMEOUT) { system.shouldHaveInFlight(entry = 1, count = 8) }
                    system.entries[1].signal(Signal.TERM)
                    sent.awaitAll()
                }
                system.entries[1].awaitExit()

                responses.filterNot { it.isAnswered }.shouldBeEmpty()
                InvariantChecker.check(responses, system.effects(), listOf("record"), NON_IDEMPOTENT_STAGES)
            }
        }

        describe("an entry whose addresses are in use") {
            it("exits with EXIT_CANNOT_SERVE while the other entry keeps serving") {
                system.startDuplicateOf(0).awaitExit() shouldBe EXIT_CANNOT_SERVE

                system.send(Kind.ORDER, entry = 0).isAnswered shouldBe true
            }
        }

        describe("an entry that is killed under load") {
            it("leaves no order run twice, and its successor serves") {
                coroutineScope {
                    val sent = List(8) { async { system.send(Kind.ORDER, entry = 1) } }
                    eventually(EVENT_TIMEOUT) { system.shouldHaveInFlight(entry = 1, count = 8) }
                    system.entries[1].signal(Signal.KILL)
                    sent.awaitAll()
                }

                InvariantChecker.checkAtMostOnce(system.effects(), NON_IDEMPOTENT_STAGES)
                system.startEntry(1)
                system.awaitEntry(1)
                system.send(Kind.ORDER, entry = 1).isAnswered shouldBe true
            }
        }

        describe("an entry that is frozen and resumes") {
            it("gives every caller the response to its own request") {
                val responses = coroutineScope {
                    val sent = List(8) { async { system.send(Kind.ORDER, entry = 1) } }
                    eventually(EVENT_TIMEOUT) { system.shouldHaveInFlight(entry = 1, count = 8) }
                    // Requests that are not dispatched before the freeze would take effect only after it.
                    eventually(EVENT_TIMEOUT) { system.startedCalls() shouldBe 8 }
                    system.entries[1].signal(Signal.STOP)
                    eventually(EVENT_TIMEOUT) { system.effects().size shouldBe 8 }
                    system.entries[1].signal(Signal.CONT)
                    sent.awaitAll()
                }

                InvariantChecker.check(responses, system.effects(), listOf("record"), NON_IDEMPOTENT_STAGES)
            }
        }

        describe("an entry that starts while the store is down") {
            it("fetches the newest tables from its peer and serves") {
                system.entries[1].kill()
                system.setStoreFault("DOWN")
                system.startEntry(1)
                system.awaitEntry(1)

                system.tables(entry = 1).shouldNotBeNull() shouldBe system.tables(entry = 0)
                system.send(Kind.ORDER, entry = 1).isAnswered shouldBe true
            }
        }
    })
