package org.bilberryhead.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.operator.ChangeResponse
import org.bilberryhead.operator.OperatorPaths
import org.bilberryhead.platform.ChangeOutcome
import org.bilberryhead.platform.TableLog
import org.bilberryhead.platform.testing.FakeTableService
import org.bilberryhead.platform.testing.StoreCall
import org.bilberryhead.platform.testing.StoreFault
import kotlin.time.TimeSource

private const val ROUNDS = 30

class OperatorRoutesTest :
    DescribeSpec({
        lateinit var system: LoopbackSystem
        beforeEach {
            system = LoopbackSystem()
            system.start()
        }
        afterEach { system.stop() }

        describe("a change of the tables") {
            it("reaches every entry and sidecar, and a repeated submission is accepted again") {
                system.withOperators {
                    with(system) {
                        propose(firstChange()) shouldBe ChangeResponse.Accepted(TableVersion(1), holders = 1)
                        awaitEverywhere(1)

                        propose(firstChange()).shouldBeInstanceOf<ChangeResponse.Accepted>().holders shouldBeGreaterThan
                            1
                        read("/v1/operator/changes/first").bodyAsText() shouldContain "accepted"
                    }
                }
            }
            it("loses the race to a change that was committed first, which is returned") {
                system.withOperators {
                    with(system) {
                        propose(firstChange())

                        val response = propose(change("second", base = 0, concurrency = 5))

                        response.shouldBeInstanceOf<ChangeResponse.LostRace>().winner?.id shouldBe ChangeId("first")
                    }
                }
            }
            it("is invalid when it would make the tables invalid") {
                system.withOperators {
                    with(system) {
                        propose(change("bad", base = 0, concurrency = 0)).shouldBeInstanceOf<ChangeResponse.Invalid>()
                        store.committed.size shouldBe 0
                    }
                }
            }
            it("is not committed while the table service is down") {
                system.withOperators {
                    with(system) {
                        store.defaultFault = StoreFault.DOWN

                        propose(firstChange()).shouldBeInstanceOf<ChangeResponse.NotCommitted>()
                    }
                }
            }
            it("is unknown when it may have been sent to another entry before, while the table service is down") {
                system.withOperators {
                    with(system) {
                        store.defaultFault = StoreFault.DOWN

                        propose(firstChange(), isFirst = false).shouldBeInstanceOf<ChangeResponse.Unknown>()
                    }
                }
            }
            it("for a version that is not in the log is sealed, so that an earlier submission cannot commit later") {
                system.withOperators {
                    with(system) {
                        val change = change("early", base = 1, concurrency = 5)

                        propose(change).shouldBeInstanceOf<ChangeResponse.NotCommitted>()

                        propose(firstChange())
                        TableLog(store).commit(change).shouldBeInstanceOf<ChangeOutcome.NotCommitted>()
                    }
                }
            }
            it("propagates to every process when the store goes down right after the commit") {
                system.withOperators {
                    with(system) {
                        propose(firstChange())
                        awaitEverywhere(1)
                        printPropagationTimes("store up") { }
                        printPropagationTimes("store down right after the commit") { store.goDownAfterCommit() }
                    }
                }
            }
        }
        describe("the view of an entry") {
            it("contains tables, history, status and the routing of a kind of request") {
                system.withOperators {
                    with(system) {
                        propose(firstChange())
                        awaitEverywhere(1)

                        read(OperatorPaths.TABLES).bodyAsText() shouldContain "generate-0"
                        read(OperatorPaths.HISTORY).bodyAsText() shouldContain "\"author\":\"ann\""
                        read(OperatorPaths.STATUS).bodyAsText() shouldContain "SERVING"
                        read("/v1/operator/explain/plan").bodyAsText() shouldContain "\"chosen\":\"generate-"
                        read("/v1/operator/explain/none").status shouldBe HttpStatusCode.NotFound
                    }
                }
            }
            it("is refused without an operator's token") {
                system.withOperators {
                    client.get(OperatorPaths.TABLES).status shouldBe HttpStatusCode.Unauthorized
                }
            }
        }
    })

/** Makes every call after the next commit fail. */
private fun FakeTableService.goDownAfterCommit() {
    defaultFault = StoreFault.NONE
    var isCommitted = false
    beforeCall = { call ->
        if (isCommitted) defaultFault = StoreFault.DOWN
        if (call == StoreCall.COMMIT) isCommitted = true
    }
}

/** Prints the times from the submission of a change until it is accepted and until every process holds it. */
private suspend fun LoopbackSystem.printPropagationTimes(name: String, prepare: () -> Unit) {
    val accepted = mutableListOf<Long>()
    val everywhere = mutableListOf<Long>()
    repeat(ROUNDS) { round ->
        store.clearFaults()
        val base = entries[0].tables.version.value
        val change = change("$name $round", base, concurrency = 4 + (base % 2).toInt())
        prepare()
        val submittedAt = TimeSource.Monotonic.markNow()
        val proposals = ChangeProposals(entries[0], TableLog(store))
        proposals.propose(change).shouldBeInstanceOf<ChangeResponse.Accepted>().holders shouldBeGreaterThan 0
        accepted += submittedAt.elapsedNow().inWholeMicroseconds
        awaitEverywhere(base + 1)
        everywhere += submittedAt.elapsedNow().inWholeMicroseconds
    }
    println(
        "propagation, $name, $ROUNDS changes, microseconds: accepted p50 ${accepted.sorted()[ROUNDS / 2]} " +
            "max ${accepted.max()}, everywhere p50 ${everywhere.sorted()[ROUNDS / 2]} max ${everywhere.max()}",
    )
}
