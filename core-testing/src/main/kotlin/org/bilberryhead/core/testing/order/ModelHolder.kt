package org.bilberryhead.core.testing.order

import org.bilberryhead.core.order.ActionId
import org.bilberryhead.core.order.DesiredEngineState
import org.bilberryhead.core.order.EngineOrderAction
import org.bilberryhead.core.order.EngineOrderEvent
import org.bilberryhead.core.order.EngineReconciler
import org.bilberryhead.core.order.WaitReason
import org.bilberryhead.core.testing.model.ModelProcess
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A sidecar that gives orders: the loop of core, with calls over the session's model of store and engine. */
internal class ModelHolder(private val session: OrderSession, val name: String, wanted: DesiredEngineState, seed: Int) {
    private val process = ModelProcess(session.loop)
    private val orders = EngineReconciler(OrderSession.TIMINGS, seed.toLong())

    /** What its tables ask for. */
    var wanted: DesiredEngineState = wanted
        private set

    /** Where its loop stands. */
    val state get() = orders.state

    private val now: Instant get() = session.loop.clock.now()

    fun start() {
        handle(EngineOrderEvent.DesiredStateChanged(wanted, OrderSession.SIDECARS))
        handle(EngineOrderEvent.Started)
    }

    fun learn(row: DesiredEngineState) {
        wanted = row
        process.after(Duration.ZERO) { handle(EngineOrderEvent.DesiredStateChanged(row, OrderSession.SIDECARS)) }
    }

    fun pause(length: Duration) {
        process.freeze()
        session.loop.after(length) { process.wake() }
    }

    fun kill() = process.kill()

    private fun handle(event: EngineOrderEvent) {
        val before = state
        val actions = orders.handle(event, now)
        if (before != state) session.note("$name $before -> $state")
        actions.forEach { action -> process.after(STEP) { perform(action) } }
    }

    private fun perform(action: EngineOrderAction) {
        when (action) {
            is EngineOrderAction.AcquireNumber -> take(action.actionId)
            is EngineOrderAction.ReadNumber -> readNumber(action.actionId)
            is EngineOrderAction.ReadEngine -> readEngine(action.actionId)
            is EngineOrderAction.SendOrder -> send(action)
            is EngineOrderAction.StartTimer -> wait(action)
            is EngineOrderAction.Stop -> session.note("$name stops, ${action.reason}")
        }
    }

    private fun take(actionId: ActionId) {
        val begun = now
        reach(OrderPoint.TAKE_SENT)
        call(
            session.toStore,
            STORE_TIMEOUT,
            EngineOrderEvent.StoreFailed(actionId, "timeout"),
            OrderPoint.TAKE_ANSWERED,
        ) {
            val number = session.take(this)
            reach(OrderPoint.TAKE_EFFECT)
            EngineOrderEvent.NumberAcquired(actionId, number, begun)
        }
    }

    private fun readNumber(actionId: ActionId) {
        val begun = now
        reach(OrderPoint.NUMBER_READ_SENT)
        val failure = EngineOrderEvent.StoreFailed(actionId, "timeout")
        call(session.toStore, STORE_TIMEOUT, failure, OrderPoint.NUMBER_READ_ANSWERED) {
            val number = session.fence.current
            reach(OrderPoint.NUMBER_READ_EFFECT)
            EngineOrderEvent.NumberRead(actionId, number, begun)
        }
    }

    private fun readEngine(actionId: ActionId) {
        reach(OrderPoint.ENGINE_READ_SENT)
        val failure = EngineOrderEvent.EngineReadFailed(actionId, "timeout")
        call(session.toEngine, STORE_TIMEOUT, failure, OrderPoint.ENGINE_READ_ANSWERED) {
            EngineOrderEvent.EngineRead(actionId, session.engine.loaded)
        }
    }

    private fun send(action: EngineOrderAction.SendOrder) {
        reach(OrderPoint.ORDER_DUE)
        process.after(STEP) { checkAndSend(action) }
    }

    private fun checkAndSend(action: EngineOrderAction.SendOrder) {
        if (now >= action.validUntil) return handle(EngineOrderEvent.OrderWithheld(action.actionId))
        session.note("$name checked ${action.order} with number ${action.number}")
        session.records += OrderRecord.OrderChecked(now, name, action.number, action.order)
        reach(OrderPoint.ORDER_CHECKED)
        // The window that no check closes: a pause falls between the check and the write.
        process.after(STEP) { write(action) }
    }

    private fun write(action: EngineOrderAction.SendOrder) {
        val failure = EngineOrderEvent.OrderFailed(action.actionId, "timeout", mayHaveTakenEffect = true)
        call(session.toEngineWithOrder, ORDER_TIMEOUT, failure, OrderPoint.ORDER_ANSWERED) {
            reach(OrderPoint.ORDER_ARRIVED)
            val isDone = session.carryOut(this, action)
            reach(OrderPoint.ORDER_EFFECT)
            if (isDone) {
                EngineOrderEvent.OrderDone(action.actionId)
            } else {
                EngineOrderEvent.OrderRefused(action.actionId, "old")
            }
        }
    }

    private fun wait(action: EngineOrderAction.StartTimer) {
        reach(if (action.reason == WaitReason.RECONCILE) OrderPoint.SETTLED else OrderPoint.TIMER_STARTED)
        process.after(action.delay) {
            reach(OrderPoint.TIMER_DUE)
            handle(EngineOrderEvent.TimerDue(action.actionId))
        }
    }

    /** Carries [effect] out at the other end of [link]; its answer, or [failure] after [timeout], comes back once. */
    private fun call(
        link: ModelLink,
        timeout: Duration,
        failure: EngineOrderEvent,
        point: OrderPoint,
        effect: () -> EngineOrderEvent,
    ) {
        var isEnded = false
        val end = { event: EngineOrderEvent ->
            if (!isEnded) {
                isEnded = true
                reach(point)
                answered(event)
            }
        }
        session.loop.after(link.outwardDelay()) {
            if (link.isRefusing()) {
                process.after(STEP) { end(failure) }
            } else {
                val answer = effect()
                if (!link.isLosingAnswers()) process.after(link.returnDelay()) { end(answer) }
            }
        }
        process.after(timeout) { end(failure) }
    }

    private fun answered(event: EngineOrderEvent) {
        when (event) {
            is EngineOrderEvent.NumberRead ->
                session.records += OrderRecord.NumberShown(now, name, event.startedAt, event.number)
            is EngineOrderEvent.EngineRead -> session.records += OrderRecord.EngineShown(now, name)
            is EngineOrderEvent.OrderDone -> session.records += OrderRecord.OrderDone(now, name)
            else -> Unit
        }
        // A pause may fall between the arrival of an answer and the decision about it.
        process.after(STEP) { handle(event) }
    }

    private fun reach(point: OrderPoint) = session.reach(point, this)

    private companion object {
        val STEP = 1.milliseconds
        val STORE_TIMEOUT = 10.seconds
        val ORDER_TIMEOUT = 20.seconds
    }
}
