package org.bilberryhead.system

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope

/** Kinds of keys under which a caller may submit an order again. */
private enum class KeyKind { TICKET, OWN_KEY }

class KeyedOrderTest :
    DescribeSpec({
        val system = TestSystem(ordersPlan(orders = 2))
        beforeSpec { system.start() }
        beforeTest { system.clearEffects() }
        afterTest {
            system.setStoreFault("NONE")
            system.sidecars.keys.forEach { system.setEndpointFault(it, "NONE") }
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

        /** Submits an order through entry 0 and calls [injectFault] between its effect and the endpoint's response. */
        suspend fun submitDuringFault(
            key: Map<String, String>,
            injectFault: (endpoint: String) -> Unit,
        ): CallerResponse = coroutineScope {
            system.sidecars.keys.forEach { system.setEndpointFault(it, "LATE_ANSWER", ""","delayMillis":3000""") }
            val first = async { send(key, entry = 0) }
            eventually(EVENT_TIMEOUT) { system.effects() shouldHaveSize 1 }
            injectFault(system.effects().single().endpoint)
            first.await()
        }

        KeyKind.entries.forEach { kind ->
            describe("an order with a key of kind $kind") {
                it("has one effect when it is submitted again through another entry after its entry was killed") {
                    val key = keyOf(kind)
                    submitDuringFault(key) { system.entries[0].signal(Signal.KILL) }

                    val second = send(key, entry = 1)

                    second.isAnswered shouldBe true
                    system.effects() shouldHaveSize 1
                }

                it("ends as unknown and never runs on another endpoint after its sidecar was killed") {
                    val key = keyOf(kind)
                    val first = submitDuringFault(key) { system.sidecars.getValue(it).signal(Signal.KILL) }

                    val second = send(key, entry = 1)

                    first.outcome shouldBe "unknown"
                    second.outcome shouldBe "unknown"
                    system.effects() shouldHaveSize 1
                }

                it("gets the response to its first submission when it is submitted again") {
                    val key = keyOf(kind)

                    val responses = listOf(0, 1, 0).map { send(key, entry = it) }

                    responses.map { it.isAnswered }.toSet() shouldBe setOf(true)
                    responses.map { it.body }.toSet() shouldHaveSize 1
                    system.effects() shouldHaveSize 1
                }
            }
        }

        describe("an order with a ticket") {
            it("runs once when submitted through both entries while the store is down") {
                system.setStoreFault("DOWN")
                val key = keyOf(KeyKind.TICKET)

                val responses = listOf(0, 1).map { send(key, entry = it) }

                responses.map { it.isAnswered }.toSet() shouldBe setOf(true)
                system.effects() shouldHaveSize 1
            }
        }
    })
