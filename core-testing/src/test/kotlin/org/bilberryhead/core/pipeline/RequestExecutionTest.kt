package org.bilberryhead.core.pipeline

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Cancel
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Failed
import org.bilberryhead.core.message.Frame
import org.bilberryhead.core.message.Move
import org.bilberryhead.core.message.RefusalReason
import org.bilberryhead.core.message.Refused
import org.bilberryhead.core.retry.RetryBudget
import org.bilberryhead.core.routing.Candidate
import org.bilberryhead.core.tables.Stage
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.core.testing.model.FakeSelector
import org.bilberryhead.core.testing.testPool
import org.bilberryhead.core.testing.testRoute
import org.bilberryhead.core.testing.testStage
import org.bilberryhead.core.testing.testTables
import kotlin.time.Duration.Companion.seconds

private val NOW = TestClock.START
private val ORDER_STAGE = testStage("order", idempotent = false)

class RequestExecutionTest :
    DescribeSpec({
        describe("a non-idempotent request that a sidecar refused") {
            it("is sent to another endpoint although the retry budget is empty") {
                val run = TestRun(listOf(ORDER_STAGE))
                run.receive(Refused(run.dispatched().attempt, RefusalReason.QUEUE_FULL))
                run.sent<Dispatch>() shouldHaveSize 2
            }
            it("ends immediately as not run when no endpoint is left") {
                val run = TestRun(listOf(ORDER_STAGE), poolSize = 1)
                run.receive(Refused(run.dispatched().attempt, RefusalReason.QUEUE_FULL, retryAfterMillis = 40))
                (run.outcome as RequestOutcome.NotRun).reason shouldBe FailureReason.OVERLOADED
            }
            it("ends as unknown but repeatable when an idempotent stage ran before") {
                val run = TestRun(listOf(testStage("encode"), ORDER_STAGE), poolSize = 1)
                run.receive(Frame(run.dispatched().attempt, 0, Payload.ofText("code"), last = true))
                run.receive(Refused(run.dispatched().attempt, RefusalReason.LEAVING))
                (run.outcome as RequestOutcome.Unknown).repeatable shouldBe true
            }
        }
        describe("a non-idempotent request that failed at its endpoint") {
            it("ends immediately as unknown and is not retried") {
                val run = TestRun(listOf(ORDER_STAGE))
                run.receive(Failed(run.dispatched().attempt, "connection reset"))
                run.sent<Dispatch>() shouldHaveSize 1
                (run.outcome as RequestOutcome.Unknown).repeatable shouldBe false
            }
        }
        describe("an idempotent stage refused by an overloaded sidecar") {
            it("is not retried when the retry budget is empty") {
                val run = TestRun(listOf(testStage("encode")))
                run.receive(Refused(run.dispatched().attempt, RefusalReason.QUEUE_FULL))
                run.sent<Dispatch>() shouldHaveSize 1
            }
        }
        describe("a cancel message that could not be written") {
            it("is not treated as evidence that the earlier dispatch was not written") {
                val run = TestRun(listOf(ORDER_STAGE))
                run.handle(RequestEvent.TimerFired(RequestTimer.CANCEL_BEFORE_DEADLINE))
                run.sent<Cancel>().single().onlyIfWaiting shouldBe true
                run.handle(RequestEvent.NotWritten(run.dispatched().attempt))
                run.handle(RequestEvent.TimerFired(RequestTimer.DEADLINE))
                (run.outcome is RequestOutcome.Unknown) shouldBe true
            }
        }
        describe("a non-idempotent request cancelled in the queue before its deadline") {
            it("ends as not run and is not retried") {
                val run = TestRun(listOf(ORDER_STAGE))
                run.handle(RequestEvent.TimerFired(RequestTimer.CANCEL_BEFORE_DEADLINE))
                run.receive(Refused(run.dispatched().attempt, RefusalReason.CANCELLED))
                (run.outcome is RequestOutcome.NotRun) shouldBe true
                run.sent<Dispatch>() shouldHaveSize 1
            }
        }
        describe("a ticket") {
            it("that belongs to another request fails with KEY_REUSED") {
                val run = TestRun(listOf(ORDER_STAGE), ticket = TICKET)
                run.receive(Refused(TICKET.attempt, RefusalReason.ATTEMPT_MISMATCH))
                (run.outcome as RequestOutcome.NotRun).reason shouldBe FailureReason.KEY_REUSED
                run.sent<Move>().shouldBeEmpty()
            }
            it("whose dispatch was not written has no outcome until it ends as unknown at the deadline") {
                val run = TestRun(listOf(ORDER_STAGE), ticket = TICKET)
                run.handle(RequestEvent.NotWritten(TICKET.attempt))
                run.outcome shouldBe null
                run.handle(RequestEvent.TimerFired(RequestTimer.DEADLINE))
                (run.outcome is RequestOutcome.Unknown) shouldBe true
            }
            it("that exceeds the maximum number of moves ends as unknown") {
                val run = TestRun(listOf(ORDER_STAGE), ticket = TICKET)
                repeat(20) { move ->
                    val target = TICKET.copy(attempt = AttemptId("move-$move"))
                    if (run.outcome == null) {
                        run.receive(Refused(run.dispatched().attempt, RefusalReason.LEAVING, movedTo = target))
                    }
                }
                (run.outcome is RequestOutcome.Unknown) shouldBe true
            }
        }
        describe("a streamed response that was partly delivered") {
            it("is not continued by another attempt") {
                val run = TestRun(listOf(testStage("generate", hedged = true)), isStreamed = true)
                val attempt = run.dispatched().attempt
                run.receive(Frame(attempt, 0, Payload.ofText("Dear"), last = false))
                run.handle(RequestEvent.TimerFired(RequestTimer.HEDGE))
                run.handle(RequestEvent.ConnectionLost(attempt))
                run.handle(RequestEvent.IncarnationReplaced(attempt))
                run.sent<Dispatch>() shouldHaveSize 1
                (run.outcome as RequestOutcome.Unknown).reason shouldBe FailureReason.ANSWER_INCOMPLETE
            }
        }
    }) {
    /** A request execution with an empty retry budget. */
    private class TestRun(
        stages: List<Stage>,
        poolSize: Int = 2,
        ticket: AttemptLocation? = null,
        isStreamed: Boolean = false,
    ) {
        private val selector =
            FakeSelector { pool -> pool.endpoints.map { Candidate(it.id, INCARNATION, it.dataCentre) } }
        private val actions = mutableListOf<RequestAction>()
        private val route = testRoute(stages = stages, streamed = isStreamed)
        private val execution = RequestExecution(
            request = AdmittedRequest(
                RequestId("run.1"),
                ClientAccount("owner"),
                Payload.ofText("12 bins"),
                NOW + 4.seconds,
                ticket,
            ),
            route = route,
            tables = testTables(routes = listOf(route), pools = stages.map { testPool(it.pool.value, poolSize) }),
            selector = selector,
            budget = RetryBudget(ratio = 0.0, burst = 0),
        )
        val outcome: RequestOutcome?
            get() = actions.filterIsInstance<RequestAction.Complete>().singleOrNull()?.outcome

        init {
            handle(RequestEvent.Started)
        }

        fun handle(event: RequestEvent) {
            actions += execution.handle(event, NOW)
        }

        fun receive(message: AttemptMessage) = handle(RequestEvent.MessageArrived(message))

        inline fun <reified M : AttemptMessage> sent(): List<M> =
            actions.filterIsInstance<RequestAction.Send>().map { it.message }.filterIsInstance<M>()

        fun dispatched(): Dispatch = sent<Dispatch>().last()
    }

    private companion object {
        val INCARNATION = Incarnation("run-1")
        val TICKET = AttemptLocation(testPool("order").endpoints.first().id, INCARNATION, AttemptId("ticket:0"))
    }
}
