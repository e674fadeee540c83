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

/** A model of a sidecar that sends orders; runs a real [EngineReconciler] with models of the store and the engine. */
internal class ModelHolder(
    private val session: OrderSession,
    val name: String,
    desired: DesiredEngineState,
    seed: Int,
) {
    private val process = ModelProcess(session.loop)
    private val reconciler = EngineReconciler(OrderSession.TIMINGS, seed.toLong())

    /** The engine state that its tables require. */
    var desired: DesiredEngineState = desired
        private set

    /** The state of its reconciler. */
    val state get() = reconciler.state

    private val now: Instant get() = session.loop.clock.now()

    fun start() {
        handle(EngineOrderEvent.DesiredStateChanged(desired, OrderSession.SIDECARS))
        handle(EngineOrderEvent.Started)
    }

    fun changeRow(row: DesiredEngineState) {
        desired = row
        process.after(Duration.ZERO) { handle(EngineOrderEvent.DesiredStateChanged(row, OrderSession.SIDECARS)) }
    }

    fun pause(length: Duration) {
        process.freeze()
        session.loop.after(length) { process.resume() }
    }

    fun kill() = process.kill()

    private fun handle(event: EngineOrderEvent) {
        val before = state
        val actions = reconciler.handle(event, now)
        if (before != state) session.log("$name $before -> $state")
        actions.forEach { action -> process.after(STEP_DELAY) { perform(action) } }
    }

    private fun perform(action: EngineOrderAction) {
        when (action) {
            is EngineOrderAction.AcquireNumber -> acquireNumber(action.actionId)
            is EngineOrderAction.ReadNumber -> readNumber(action.actionId)
            is EngineOrderAction.ReadEngine -> readEngine(action.actionId)
            is EngineOrderAction.SendOrder -> scheduleOrder(action)
            is EngineOrderAction.StartTimer -> startTimer(action)
            is EngineOrderAction.Stop -> session.log("$name stops, ${action.reason}")
        }
    }

    private fun acquireNumber(actionId: ActionId) {
        val startedAt = now
        reach(OrderPoint.TAKE_SENT)
        call(
            session.toStore,
            STORE_TIMEOUT,
            EngineOrderEvent.StoreFailed(actionId, "timeout"),
            OrderPoint.TAKE_ANSWERED,
        ) {
            val number = session.acquireNumber(this)
            reach(OrderPoint.TAKE_EFFECT)
            EngineOrderEvent.NumberAcquired(actionId, number, startedAt)
        }
    }

    private fun readNumber(actionId: ActionId) {
        val startedAt = now
        reach(OrderPoint.NUMBER_READ_SENT)
        val failure = EngineOrderEvent.StoreFailed(actionId, "timeout")
        call(session.toStore, STORE_TIMEOUT, failure, OrderPoint.NUMBER_READ_ANSWERED) {
            val number = session.fencing.current
            reach(OrderPoint.NUMBER_READ_EFFECT)
            EngineOrderEvent.NumberRead(actionId, number, startedAt)
        }
    }

    private fun readEngine(actionId: ActionId) {
        reach(OrderPoint.ENGINE_READ_SENT)
        val failure = EngineOrderEvent.EngineReadFailed(actionId, "timeout")
        call(session.toEngine, STORE_TIMEOUT, failure, OrderPoint.ENGINE_READ_ANSWERED) {
            EngineOrderEvent.EngineRead(actionId, session.engine.loaded)
        }
    }

    private fun scheduleOrder(action: EngineOrderAction.SendOrder) {
        reach(OrderPoint.ORDER_DUE)
        process.after(STEP_DELAY) { checkAndSend(action) }
    }

    private fun checkAndSend(action: EngineOrderAction.SendOrder) {
        if (now >= action.validUntil) return handle(EngineOrderEvent.OrderWithheld(action.actionId))
        session.log("$name checked ${action.order} with number ${action.number}")
        session.records += OrderRecord.OrderChecked(now, name, action.number, action.order)
        reach(OrderPoint.ORDER_CHECKED)
        // No check covers this window: the process may be paused between the check and the write.
        process.after(STEP_DELAY) { write(action) }
    }

    private fun write(action: EngineOrderAction.SendOrder) {
        val failure = EngineOrderEvent.OrderFailed(action.actionId, "timeout", mayHaveTakenEffect = true)
        call(session.toEngineForOrders, ORDER_TIMEOUT, failure, OrderPoint.ORDER_ANSWERED) {
            reach(OrderPoint.ORDER_ARRIVED)
            val isExecuted = session.execute(this, action)
            reach(OrderPoint.ORDER_EFFECT)
            if (isExecuted) {
                EngineOrderEvent.OrderDone(action.actionId)
            } else {
                EngineOrderEvent.OrderRefused(action.actionId, "old")
            }
        }
    }

    private fun startTimer(action: EngineOrderAction.StartTimer) {
        reach(if (action.reason == WaitReason.RECONCILE) OrderPoint.SETTLED else OrderPoint.TIMER_STARTED)
        process.after(action.delay) {
            reach(OrderPoint.TIMER_DUE)
            handle(EngineOrderEvent.TimerDue(action.actionId))
        }
    }

    /** Runs [effect] at the other end of [link] and handles its result, or [failure] after [timeout], exactly once. */
    private fun call(
        link: ModelLink,
        timeout: Duration,
        failure: EngineOrderEvent,
        point: OrderPoint,
        effect: () -> EngineOrderEvent,
    ) {
        var isCompleted = false
        val complete = { event: EngineOrderEvent ->
            if (!isCompleted) {
                isCompleted = true
                reach(point)
                onResult(event)
            }
        }
        session.loop.after(link.requestDelay()) {
            if (link.isRefusing()) {
                process.after(STEP_DELAY) { complete(failure) }
            } else {
                val result = effect()
                if (!link.isLosingResponses()) process.after(link.responseDelay()) { complete(result) }
            }
        }
        process.after(timeout) { complete(failure) }
    }

    private fun onResult(event: EngineOrderEvent) {
        when (event) {
            is EngineOrderEvent.NumberRead ->
                session.records += OrderRecord.NumberRead(now, name, event.startedAt, event.number)
            is EngineOrderEvent.EngineRead -> session.records += OrderRecord.EngineRead(now, name)
            is EngineOrderEvent.OrderDone -> session.records += OrderRecord.OrderDone(now, name)
            else -> Unit
        }
        // The process may be paused between the arrival of a response and its handling.
        process.after(STEP_DELAY) { handle(event) }
    }

    private fun reach(point: OrderPoint) = session.reach(point, this)

    private companion object {
        val STEP_DELAY = 1.milliseconds
        val STORE_TIMEOUT = 10.seconds
        val ORDER_TIMEOUT = 20.seconds
    }
}
