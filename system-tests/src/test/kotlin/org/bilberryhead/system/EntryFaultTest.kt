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
            system.storeFault("NONE")
            system.entries.indices.filterNot { system.entries[it].isAlive }.forEach { system.startEntry(it) }
            system.entries.indices.forEach { system.awaitEntry(it) }
        }
        afterSpec { system.close() }

        describe("an entry that is asked to end under load") {
            it("cuts no request off") {
                val answers = coroutineScope {
                    val sent = List(8) { async { system.send(Kind.ORDER, entry = 1) } }
                    eventually(EVENT_LIMIT) { system.shouldHaveInFlight(entry = 1, count = 8) }
                    system.entries[1].signal(Signal.TERM)
                    sent.awaitAll()
                }
                system.entries[1].awaitEnd()

                answers.filterNot { it.isAnswered }.shouldBeEmpty()
                Judge.check(answers, system.effects(), listOf("record"), ONCE)
            }
        }

        describe("an entry whose addresses are taken") {
            it("ends with a status of its own and leaves the other one serving") {
                system.startTwinOf(0).awaitEnd() shouldBe EXIT_CANNOT_SERVE

                system.send(Kind.ORDER, entry = 0).isAnswered shouldBe true
            }
        }

        describe("an entry that is killed under load") {
            it("leaves no order doubled, and its successor serves") {
                coroutineScope {
                    val sent = List(8) { async { system.send(Kind.ORDER, entry = 1) } }
                    eventually(EVENT_LIMIT) { system.shouldHaveInFlight(entry = 1, count = 8) }
                    system.entries[1].signal(Signal.KILL)
                    sent.awaitAll()
                }

                Judge.checkAtMostOnce(system.effects(), ONCE)
                system.startEntry(1)
                system.awaitEntry(1)
                system.send(Kind.ORDER, entry = 1).isAnswered shouldBe true
            }
        }

        describe("an entry that is frozen and wakes up") {
            it("gives every caller its own answer") {
                val answers = coroutineScope {
                    val sent = List(8) { async { system.send(Kind.ORDER, entry = 1) } }
                    eventually(EVENT_LIMIT) { system.shouldHaveInFlight(entry = 1, count = 8) }
                    // What has not left the entry when it freezes takes effect only once it wakes up.
                    eventually(EVENT_LIMIT) { system.begunCalls() shouldBe 8 }
                    system.entries[1].signal(Signal.STOP)
                    eventually(EVENT_LIMIT) { system.effects().size shouldBe 8 }
                    system.entries[1].signal(Signal.CONT)
                    sent.awaitAll()
                }

                Judge.check(answers, system.effects(), listOf("record"), ONCE)
            }
        }

        describe("an entry that starts while the table service is down") {
            it("takes the newest tables from its peer and serves") {
                system.entries[1].kill()
                system.storeFault("DOWN")
                system.startEntry(1)
                system.awaitEntry(1)

                system.tables(entry = 1).shouldNotBeNull() shouldBe system.tables(entry = 0)
                system.send(Kind.ORDER, entry = 1).isAnswered shouldBe true
            }
        }
    })
