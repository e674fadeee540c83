package org.bilberryhead.system

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope

/** How the caller names an order that it may submit again. */
private enum class KeyKind { TICKET, OWN_KEY }

class KeyedOrderTest :
    DescribeSpec({
        val system = TestSystem(ordersPlan(orders = 2))
        beforeSpec { system.start() }
        beforeTest { system.clearEffects() }
        afterTest {
            system.storeFault("NONE")
            system.sidecars.keys.forEach { system.endpointFault(it, "NONE") }
            system.entries.indices.filterNot { system.entries[it].isAlive }.forEach { system.startEntry(it) }
            system.sidecars.filterValues { !it.isAlive }.keys.forEach { system.startSidecar(it) }
            system.entries.indices.forEach { system.awaitEntry(it) }
        }
        afterSpec { system.close() }

        suspend fun keyOf(kind: KeyKind): Map<String, String> {
            val key = if (kind == KeyKind.TICKET) system.ticket(Kind.ORDER) else "own-key-${System.nanoTime()}"
            return mapOf("Idempotency-Key" to "\"$key\"")
        }

        suspend fun send(key: Map<String, String>, entry: Int) = system.send(Kind.ORDER, entry, headers = key)

        /** Submits an order through entry 0 and calls [fault] between its effect and the endpoint's answer. */
        suspend fun submitUnder(key: Map<String, String>, fault: (endpoint: String) -> Unit): CallerAnswer =
            coroutineScope {
                system.sidecars.keys.forEach { system.endpointFault(it, "LATE_ANSWER", ""","delayMillis":3000""") }
                val first = async { send(key, entry = 0) }
                eventually(EVENT_LIMIT) { system.effects() shouldHaveSize 1 }
                fault(system.effects().single().endpoint)
                first.await()
            }

        KeyKind.entries.forEach { kind ->
            describe("an order under a key of the kind $kind") {
                it("that is submitted again through another entry after its entry was killed has one effect") {
                    val key = keyOf(kind)
                    submitUnder(key) { system.entries[0].signal(Signal.KILL) }

                    val second = send(key, entry = 1)

                    second.isAnswered shouldBe true
                    system.effects() shouldHaveSize 1
                }

                it("is unknown and never runs elsewhere after its sidecar was killed") {
                    val key = keyOf(kind)
                    val first = submitUnder(key) { system.sidecars.getValue(it).signal(Signal.KILL) }

                    val second = send(key, entry = 1)

                    first.outcome shouldBe "unknown"
                    second.outcome shouldBe "unknown"
                    system.effects() shouldHaveSize 1
                }

                it("gets the answer of its first submission when it is sent again") {
                    val key = keyOf(kind)

                    val answers = listOf(0, 1, 0).map { send(key, entry = it) }

                    answers.map { it.isAnswered }.toSet() shouldBe setOf(true)
                    answers.map { it.body }.toSet() shouldHaveSize 1
                    system.effects() shouldHaveSize 1
                }
            }
        }

        describe("an order under a ticket") {
            it("runs once through both entries while the table service is down") {
                system.storeFault("DOWN")
                val key = keyOf(KeyKind.TICKET)

                val answers = listOf(0, 1).map { send(key, entry = it) }

                answers.map { it.isAnswered }.toSet() shouldBe setOf(true)
                system.effects() shouldHaveSize 1
            }
        }
    })
