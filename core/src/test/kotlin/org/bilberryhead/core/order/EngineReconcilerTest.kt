package org.bilberryhead.core.order

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.bilberryhead.core.common.FencingNumber
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val start = Instant.fromEpochSeconds(1_800_000_000)
private val wanted = DesiredEngineState(ModelVersion("advisor-v4"), role = EngineRole("decode"))
private val complete = EngineState(setOf(wanted.model), role = wanted.role)
private val withoutRole = complete.copy(role = null)

/** A loop with the answers that it gets, one after another. */
private class Driven(seed: Long = 1) {
    val loop = EngineReconciler(seed = seed)
    var now = start
    var last: EngineOrderAction? = null

    fun give(event: EngineOrderEvent): EngineOrderAction? {
        loop.handle(event, now).lastOrNull()?.let { last = it }
        return last
    }

    fun actionId(): ActionId = when (val action = checkNotNull(last)) {
        is EngineOrderAction.TakeNumber -> action.actionId
        is EngineOrderAction.ReadNumber -> action.actionId
        is EngineOrderAction.ReadEngine -> action.actionId
        is EngineOrderAction.SendOrder -> action.actionId
        is EngineOrderAction.StartTimer -> action.actionId
        is EngineOrderAction.Stop -> error("stopped")
    }

    fun stored(number: Long) = give(EngineOrderEvent.NumberRead(actionId(), FencingNumber(number), now))

    fun loaded(state: EngineState) = give(EngineOrderEvent.EngineRead(actionId(), state))

    fun failed() = give(EngineOrderEvent.OrderFailed(actionId(), "lost", mayHaveTakenEffect = true))

    /** Leads to the read of the number before an order for the role. */
    fun toConfirming() = apply {
        give(EngineOrderEvent.DesiredStateChanged(wanted, sidecars = 1))
        give(EngineOrderEvent.Started)
        give(EngineOrderEvent.NumberTaken(actionId(), FencingNumber(7), now))
        loaded(withoutRole)
    }
}

class EngineReconcilerTest :
    DescribeSpec({
        describe("the chart") {
            it("reaches every state") {
                EngineOrderChart.chart.reachableStates() shouldBe EngineOrderState.entries.toSet()
            }
        }
        describe("a loop") {
            it("sends an order with its number after a read that shows it, and reads it again afterwards") {
                val driven = Driven().toConfirming()

                val order = driven.stored(7).shouldBeInstanceOf<EngineOrderAction.SendOrder>()
                order.order shouldBe Order.SetRole(EngineRole("decode"))
                order.number shouldBe FencingNumber(7)
                order.usableUntil shouldBe start + 5.seconds
                driven.give(EngineOrderEvent.OrderDone(driven.actionId()))
                    .shouldBeInstanceOf<EngineOrderAction.ReadNumber>()
                driven.stored(7).shouldBeInstanceOf<EngineOrderAction.ReadEngine>()
                driven.loaded(complete).shouldBeInstanceOf<EngineOrderAction.StartTimer>()
                    .reason shouldBe WaitReason.RECONCILE
                driven.loop.isSettled shouldBe true
            }
            it("stops for good when the store shows a newer number before an order") {
                val driven = Driven().toConfirming()

                driven.stored(8) shouldBe EngineOrderAction.Stop(StopReason.SUPERSEDED)
                driven.loop.handle(EngineOrderEvent.DesiredStateChanged(null, sidecars = 1), start).shouldBeEmpty()
            }
            it("stops for good when the store shows a newer number after an order") {
                val driven = Driven().toConfirming()
                driven.stored(7)
                driven.give(EngineOrderEvent.OrderDone(driven.actionId()))

                driven.stored(8) shouldBe EngineOrderAction.Stop(StopReason.SUPERSEDED)
            }
            it("does not use a number whose read took longer than its validity") {
                val driven = Driven().toConfirming()
                val begun = driven.now
                driven.now += 6.seconds

                driven.give(EngineOrderEvent.NumberRead(driven.actionId(), FencingNumber(7), begun))
                    .shouldBeInstanceOf<EngineOrderAction.StartTimer>().reason shouldBe WaitReason.RETRY
            }
            it("reads the number again when the order was withheld") {
                val driven = Driven().toConfirming()
                driven.stored(7)

                driven.give(EngineOrderEvent.OrderWithheld(driven.actionId()))
                    .shouldBeInstanceOf<EngineOrderAction.ReadNumber>()
            }
            it("asks the engine before it repeats an order whose outcome is unknown") {
                val driven = Driven().toConfirming()
                driven.stored(7)

                driven.failed().shouldBeInstanceOf<EngineOrderAction.StartTimer>().reason shouldBe WaitReason.RETRY
                driven.give(EngineOrderEvent.TimerDue(driven.actionId()))
                    .shouldBeInstanceOf<EngineOrderAction.ReadEngine>()
                driven.loaded(complete)
                driven.loop.isSettled shouldBe true
            }
            it("waits longer after each failure") {
                val driven = Driven().toConfirming()
                val delays = List(4) {
                    driven.stored(7)
                    val timer = driven.failed().shouldBeInstanceOf<EngineOrderAction.StartTimer>()
                    driven.give(EngineOrderEvent.TimerDue(driven.actionId()))
                    driven.loaded(withoutRole)
                    timer.delay
                }

                (delays[3] > delays[0] * 2) shouldBe true
            }
            it("ignores the answer to an action that a change of the tables has overtaken") {
                val driven = Driven().toConfirming()
                val old = driven.actionId()
                driven.give(EngineOrderEvent.DesiredStateChanged(wanted.copy(role = null), sidecars = 1))

                val late = EngineOrderEvent.NumberRead(old, FencingNumber(7), start)
                driven.loop.handle(late, start).shouldBeEmpty()
                driven.loaded(withoutRole)
                driven.loop.isSettled shouldBe true
            }
            it("ignores a state of the engine that was asked for before the tables changed") {
                val driven = Driven().toConfirming()
                driven.give(EngineOrderEvent.DesiredStateChanged(wanted.copy(role = null), sidecars = 1))
                val old = driven.actionId()
                driven.give(EngineOrderEvent.DesiredStateChanged(wanted, sidecars = 1))

                driven.loop.handle(EngineOrderEvent.EngineRead(old, withoutRole), start).shouldBeEmpty()
                driven.loop.state shouldBe EngineOrderState.READING
            }
            it("leaves an engine alone that nothing is wanted of") {
                val driven = Driven()
                driven.give(EngineOrderEvent.Started)
                val taken = EngineOrderEvent.NumberTaken(driven.actionId(), FencingNumber(7), start)

                driven.loop.handle(taken, start).shouldBeEmpty()
                driven.loop.isSettled shouldBe true
            }
            it("gives no order for a row that is taken back before the number is confirmed") {
                val driven = Driven().toConfirming()
                val read = EngineOrderEvent.NumberRead(driven.actionId(), FencingNumber(7), start)

                driven.loop.handle(EngineOrderEvent.DesiredStateChanged(null, sidecars = 0), start).shouldBeEmpty()
                driven.loop.handle(read, start).shouldBeEmpty()
            }
            it("waits for its slot before it loads weights") {
                val driven = Driven()
                driven.give(EngineOrderEvent.DesiredStateChanged(wanted, sidecars = 1_000))
                driven.give(EngineOrderEvent.Started)
                driven.give(EngineOrderEvent.NumberTaken(driven.actionId(), FencingNumber(7), start))

                val timer = driven.loaded(EngineState()).shouldBeInstanceOf<EngineOrderAction.StartTimer>()
                timer.reason shouldBe WaitReason.LOAD_SLOT
                driven.now += timer.delay
                driven.give(EngineOrderEvent.TimerDue(timer.actionId))
                driven.loaded(EngineState()).shouldBeInstanceOf<EngineOrderAction.ReadNumber>()
            }
            it("sends nothing without a number, and tries again to take one") {
                val driven = Driven()
                driven.give(EngineOrderEvent.DesiredStateChanged(wanted, sidecars = 1))
                driven.give(EngineOrderEvent.Started)
                driven.give(EngineOrderEvent.StoreFailed(driven.actionId(), "down"))
                    .shouldBeInstanceOf<EngineOrderAction.StartTimer>()

                driven.give(EngineOrderEvent.TimerDue(driven.actionId()))
                    .shouldBeInstanceOf<EngineOrderAction.TakeNumber>()
            }
        }
    })
