package org.bilberryhead.core.order

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.bilberryhead.core.common.FencingNumber
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val start = Instant.fromEpochSeconds(1_800_000_000)
private val desired = DesiredEngineState(ModelVersion("advisor-v4"), role = EngineRole("decode"))
private val matching = EngineState(setOf(desired.model), role = desired.role)
private val withoutRole = matching.copy(role = null)

/** Drives a reconciler: reports results of its last action and advances the simulated clock. */
private class Driver(seed: Long = 1) {
    val reconciler = EngineReconciler(seed = seed)
    var now = start
    var lastAction: EngineOrderAction? = null

    fun handle(event: EngineOrderEvent): EngineOrderAction? {
        reconciler.handle(event, now).lastOrNull()?.let { lastAction = it }
        return lastAction
    }

    fun actionId(): ActionId = when (val action = checkNotNull(lastAction)) {
        is EngineOrderAction.AcquireNumber -> action.actionId
        is EngineOrderAction.ReadNumber -> action.actionId
        is EngineOrderAction.ReadEngine -> action.actionId
        is EngineOrderAction.SendOrder -> action.actionId
        is EngineOrderAction.StartTimer -> action.actionId
        is EngineOrderAction.Stop -> error("the reconciler has stopped")
    }

    fun reportNumber(number: Long) = handle(EngineOrderEvent.NumberRead(actionId(), FencingNumber(number), now))

    fun reportEngineState(state: EngineState) = handle(EngineOrderEvent.EngineRead(actionId(), state))

    fun reportOrderFailed() =
        handle(EngineOrderEvent.OrderFailed(actionId(), "connection lost", mayHaveTakenEffect = true))

    /** Advances the reconciler to the read of the fencing number that precedes a set_role order. */
    fun advanceToConfirming() = apply {
        handle(EngineOrderEvent.DesiredStateChanged(desired, sidecarCount = 1))
        handle(EngineOrderEvent.Started)
        handle(EngineOrderEvent.NumberAcquired(actionId(), FencingNumber(7), now))
        reportEngineState(withoutRole)
    }
}

class EngineReconcilerTest :
    DescribeSpec({
        describe("the chart") {
            it("reaches every state") {
                EngineOrderChart.chart.reachableStates() shouldBe EngineOrderState.entries.toSet()
            }
        }
        describe("a reconciler") {
            it("sends an order after a read confirmed its number, and reads the number again afterwards") {
                val driver = Driver().advanceToConfirming()

                val order = driver.reportNumber(7).shouldBeInstanceOf<EngineOrderAction.SendOrder>()
                order.order shouldBe Order.SetRole(EngineRole("decode"))
                order.number shouldBe FencingNumber(7)
                order.validUntil shouldBe start + 5.seconds
                driver.handle(EngineOrderEvent.OrderDone(driver.actionId()))
                    .shouldBeInstanceOf<EngineOrderAction.ReadNumber>()
                driver.reportNumber(7).shouldBeInstanceOf<EngineOrderAction.ReadEngine>()
                driver.reportEngineState(matching).shouldBeInstanceOf<EngineOrderAction.StartTimer>()
                    .reason shouldBe WaitReason.RECONCILE
                driver.reconciler.isSettled shouldBe true
            }
            it("stops permanently when a read before an order returns a newer number") {
                val driver = Driver().advanceToConfirming()

                driver.reportNumber(8) shouldBe EngineOrderAction.Stop(StopReason.SUPERSEDED)
                driver.reconciler.handle(EngineOrderEvent.DesiredStateChanged(null, sidecarCount = 1), start)
                    .shouldBeEmpty()
            }
            it("stops permanently when a read after an order returns a newer number") {
                val driver = Driver().advanceToConfirming()
                driver.reportNumber(7)
                driver.handle(EngineOrderEvent.OrderDone(driver.actionId()))

                driver.reportNumber(8) shouldBe EngineOrderAction.Stop(StopReason.SUPERSEDED)
            }
            it("sends no order when the read of the number took longer than the validity") {
                val driver = Driver().advanceToConfirming()
                val startedAt = driver.now
                driver.now += 6.seconds

                driver.handle(EngineOrderEvent.NumberRead(driver.actionId(), FencingNumber(7), startedAt))
                    .shouldBeInstanceOf<EngineOrderAction.StartTimer>().reason shouldBe WaitReason.RETRY
            }
            it("reads the number again when the sidecar did not send the order in time") {
                val driver = Driver().advanceToConfirming()
                driver.reportNumber(7)

                driver.handle(EngineOrderEvent.OrderWithheld(driver.actionId()))
                    .shouldBeInstanceOf<EngineOrderAction.ReadNumber>()
            }
            it("reads the engine before it retries an order whose outcome is unknown") {
                val driver = Driver().advanceToConfirming()
                driver.reportNumber(7)

                driver.reportOrderFailed().shouldBeInstanceOf<EngineOrderAction.StartTimer>()
                    .reason shouldBe WaitReason.RETRY
                driver.handle(EngineOrderEvent.TimerDue(driver.actionId()))
                    .shouldBeInstanceOf<EngineOrderAction.ReadEngine>()
                driver.reportEngineState(matching)
                driver.reconciler.isSettled shouldBe true
            }
            it("increases the retry delay after each failure") {
                val driver = Driver().advanceToConfirming()
                val delays = List(4) {
                    driver.reportNumber(7)
                    val timer = driver.reportOrderFailed().shouldBeInstanceOf<EngineOrderAction.StartTimer>()
                    driver.handle(EngineOrderEvent.TimerDue(driver.actionId()))
                    driver.reportEngineState(withoutRole)
                    timer.delay
                }

                (delays[3] > delays[0] * 2) shouldBe true
            }
            it("ignores the result of an action that a change of the tables has superseded") {
                val driver = Driver().advanceToConfirming()
                val supersededId = driver.actionId()
                driver.handle(EngineOrderEvent.DesiredStateChanged(desired.copy(role = null), sidecarCount = 1))

                val lateResult = EngineOrderEvent.NumberRead(supersededId, FencingNumber(7), start)
                driver.reconciler.handle(lateResult, start).shouldBeEmpty()
                driver.reportEngineState(withoutRole)
                driver.reconciler.isSettled shouldBe true
            }
            it("ignores an engine state whose read started before the tables changed") {
                val driver = Driver().advanceToConfirming()
                driver.handle(EngineOrderEvent.DesiredStateChanged(desired.copy(role = null), sidecarCount = 1))
                val supersededId = driver.actionId()
                driver.handle(EngineOrderEvent.DesiredStateChanged(desired, sidecarCount = 1))

                driver.reconciler.handle(EngineOrderEvent.EngineRead(supersededId, withoutRole), start).shouldBeEmpty()
                driver.reconciler.state shouldBe EngineOrderState.READING
            }
            it("sends nothing to an engine whose pool has no engine configuration") {
                val driver = Driver()
                driver.handle(EngineOrderEvent.Started)
                val acquired = EngineOrderEvent.NumberAcquired(driver.actionId(), FencingNumber(7), start)

                driver.reconciler.handle(acquired, start).shouldBeEmpty()
                driver.reconciler.isSettled shouldBe true
            }
            it("sends no order for an engine configuration that is removed before the number is confirmed") {
                val driver = Driver().advanceToConfirming()
                val read = EngineOrderEvent.NumberRead(driver.actionId(), FencingNumber(7), start)

                driver.reconciler.handle(EngineOrderEvent.DesiredStateChanged(null, sidecarCount = 0), start)
                    .shouldBeEmpty()
                driver.reconciler.handle(read, start).shouldBeEmpty()
            }
            it("waits for its load slot before an order that loads weights") {
                val driver = Driver()
                driver.handle(EngineOrderEvent.DesiredStateChanged(desired, sidecarCount = 1_000))
                driver.handle(EngineOrderEvent.Started)
                driver.handle(EngineOrderEvent.NumberAcquired(driver.actionId(), FencingNumber(7), start))

                val timer = driver.reportEngineState(EngineState()).shouldBeInstanceOf<EngineOrderAction.StartTimer>()
                timer.reason shouldBe WaitReason.LOAD_SLOT
                driver.now += timer.delay
                driver.handle(EngineOrderEvent.TimerDue(timer.actionId))
                driver.reportEngineState(EngineState()).shouldBeInstanceOf<EngineOrderAction.ReadNumber>()
            }
            it("retries when acquiring a number fails, and sends no order without one") {
                val driver = Driver()
                driver.handle(EngineOrderEvent.DesiredStateChanged(desired, sidecarCount = 1))
                driver.handle(EngineOrderEvent.Started)
                driver.handle(EngineOrderEvent.StoreFailed(driver.actionId(), "down"))
                    .shouldBeInstanceOf<EngineOrderAction.StartTimer>()

                driver.handle(EngineOrderEvent.TimerDue(driver.actionId()))
                    .shouldBeInstanceOf<EngineOrderAction.AcquireNumber>()
            }
        }
    })
