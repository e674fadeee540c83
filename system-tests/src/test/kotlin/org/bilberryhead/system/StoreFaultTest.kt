package org.bilberryhead.system

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.operator.ChangeResponse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class StoreFaultTest :
    DescribeSpec({
        val system = TestSystem(ordersPlan(orders = 2))
        beforeSpec { system.start() }
        beforeTest { system.clearEffects() }
        afterTest { system.setStoreFault("NONE") }
        afterSpec { system.close() }

        suspend fun deadlineChange(deadline: Duration): TableChange {
            val tables = system.tables(entry = 0).shouldNotBeNull()
            val route = tables.routes.getValue(RequestKind(Kind.ORDER))
            return system.changeOf(tables, route.copy(defaultDeadline = deadline))
        }

        suspend fun shouldBeCurrent(change: TableChange) = eventually(EVENT_TIMEOUT) {
            system.entries.indices.forEach { entry ->
                val tables = system.tables(entry).shouldNotBeNull()
                (tables.version >= change.version) shouldBe true
                tables.routes.values shouldContain change.putRoutes.single()
            }
        }

        describe("a change of the tables") {
            it("becomes current at both entries once it is accepted") {
                val change = deadlineChange(11.seconds)

                system.propose(change).shouldBeInstanceOf<ChangeResponse.Accepted>()

                shouldBeCurrent(change)
            }

            it("is reported as committed when the store's response is lost after the effect") {
                val change = deadlineChange(12.seconds)
                system.setStoreFault("LOSE_ANSWERS", ""","calls":1,"writesOnly":true""")

                val outcome = system.propose(change)

                if (outcome !is ChangeResponse.Accepted) outcome.shouldBeInstanceOf<ChangeResponse.Unknown>()
                eventually(EVENT_TIMEOUT) { system.outcomeOf(change.id).shouldBeInstanceOf<ChangeResponse.Accepted>() }
                shouldBeCurrent(change)
            }

            it("is accepted while the store is slow") {
                val change = deadlineChange(13.seconds)
                system.setStoreFault("SLOW", ""","delayMillis":500""")

                system.propose(change).shouldBeInstanceOf<ChangeResponse.Accepted>()

                shouldBeCurrent(change)
            }

            it("is not committed while the store is down, nor after it recovers") {
                val before = system.tables(entry = 0)
                val change = deadlineChange(14.seconds)
                system.setStoreFault("DOWN")

                system.propose(change).shouldBeInstanceOf<ChangeResponse.NotCommitted>()

                system.setStoreFault("NONE")
                val next = deadlineChange(15.seconds)
                system.propose(next, entry = 1).shouldBeInstanceOf<ChangeResponse.Accepted>()
                shouldBeCurrent(next)
                next.baseVersion shouldBe before.shouldNotBeNull().version
            }

            it("becomes current at both entries when the store goes down right after the commit") {
                val change = deadlineChange(16.seconds)

                system.propose(change).shouldBeInstanceOf<ChangeResponse.Accepted>()
                system.setStoreFault("DOWN")

                shouldBeCurrent(change)
            }

            it("is accepted from only one of two racing operators, and the other's outcome names the winning change") {
                val first = deadlineChange(17.seconds)
                val second = deadlineChange(18.seconds)

                val outcomes = coroutineScope {
                    listOf(async { system.propose(first) }, async { system.propose(second, entry = 1) }).awaitAll()
                }

                outcomes.filterIsInstance<ChangeResponse.Accepted>() shouldHaveSize 1
                val lost = outcomes.filterIsInstance<ChangeResponse.LostRace>().single()
                val winner = listOf(first, second).single { it.id != lost.proposed.id }
                lost.winner.shouldNotBeNull().id shouldBe winner.id
                shouldBeCurrent(winner)
            }
        }

        describe("one key sent through two entries at once") {
            listOf("NONE", "SLOW", "LOSE_ANSWERS", "DOWN").forEach { fault ->
                it("has at most one effect with the store fault $fault") {
                    val key = mapOf("Idempotency-Key" to "\"$fault\"")
                    val calls = if (fault == "LOSE_ANSWERS") 1 else 0
                    system.setStoreFault(fault, ""","delayMillis":300,"calls":$calls""")

                    val responses = coroutineScope {
                        List(6) {
                            async { system.send(Kind.ORDER, it % 2, headers = key) }
                        }.awaitAll()
                    }

                    val effects = system.effects()
                    (effects.size <= 1) shouldBe true
                    if (fault in setOf("NONE", "SLOW")) effects shouldHaveSize 1
                    if (responses.any { it.isAnswered }) effects shouldHaveSize 1
                    responses.filter { it.isAnswered }.map { it.body }.distinct().size shouldBe effects.size
                    if (responses.all { it.outcome == "not_run" }) effects shouldHaveSize 0
                }
            }
        }

        describe("an order without a key") {
            it("is answered while the store is down") {
                system.setStoreFault("DOWN")

                val response = system.send(Kind.ORDER)

                response.isAnswered shouldBe true
                InvariantChecker.check(listOf(response), system.effects(), listOf("record"), NON_IDEMPOTENT_STAGES)
            }
        }
    })
