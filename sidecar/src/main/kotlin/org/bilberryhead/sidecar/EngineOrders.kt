package org.bilberryhead.sidecar

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.order.EngineOrderAction
import org.bilberryhead.core.order.EngineOrderEvent
import org.bilberryhead.core.order.EngineOrderTimings
import org.bilberryhead.core.order.EngineReconciler
import org.bilberryhead.core.order.Order
import org.bilberryhead.core.order.WaitReason
import org.bilberryhead.core.tables.Tables
import kotlin.time.Clock

private val log = KotlinLogging.logger("orders")

/** Runs an [EngineReconciler] on the sidecar's [control] thread, and its actions on other threads. */
internal class EngineOrders(
    private val settings: SidecarSettings,
    incarnation: Incarnation,
    private val clock: Clock,
    private val executor: EngineOrderExecutor,
    private val metrics: SidecarMetrics,
    private val scope: CoroutineScope,
    private val control: ControlThread,
) : AutoCloseable {
    private val reconciler = EngineReconciler(timings(settings.engineOrders), seed = incarnation.hashCode().toLong())
    private var timer: Job? = null
    private var lastSentOrder: EngineOrderAction.SendOrder? = null

    @Volatile
    private var isSettled = true

    @Volatile
    private var fencingNumber = 0L

    /** Starts to acquire a fencing number and to send orders. */
    fun start() {
        metrics.gauge("bilberry.engine.settled", "1 when the engine has what the tables ask for") {
            if (isSettled) 1 else 0
        }
        metrics.gauge("bilberry.engine.fencing.number", "Number of this run, 0 before it has one") { fencingNumber }
        post(EngineOrderEvent.Started)
    }

    /** Stops sending orders. */
    fun leave() = post(EngineOrderEvent.Leaving)

    /** Applies the desired state of [tables]. Must be called on the control thread. */
    fun onTablesChanged(tables: Tables) = step(EngineOrderEvent.DesiredStateChanged.of(tables, settings.endpoint))

    override fun close() = executor.close()

    private fun post(event: EngineOrderEvent) = control.post { step(event) }

    private fun step(event: EngineOrderEvent) {
        recordEvent(event)
        val actions = reconciler.handle(event, clock.now())
        updateSettled()
        actions.forEach(::perform)
    }

    private fun perform(action: EngineOrderAction) {
        recordAction(action)
        timer?.cancel()
        val job = scope.launch { executor.perform(action)?.let(::post) }
        timer = job.takeIf { action is EngineOrderAction.StartTimer }
    }

    private fun recordAction(action: EngineOrderAction) {
        when (action) {
            is EngineOrderAction.SendOrder -> {
                lastSentOrder = action
                log.info { "orders: send ${action.order} with fencing number ${action.number}" }
            }
            is EngineOrderAction.StartTimer -> recordWait(action)
            is EngineOrderAction.Stop -> log.info { "orders: give no more orders, reason ${action.reason}" }
            else -> Unit
        }
    }

    private fun recordWait(action: EngineOrderAction.StartTimer) {
        metrics.countOrderWait(action.reason)
        when (action.reason) {
            WaitReason.LOAD_SLOT -> log.info { "orders: wait ${action.delay} for a slot to load weights" }
            WaitReason.RETRY -> log.info { "orders: wait ${action.delay} before the retry" }
            WaitReason.RECONCILE -> log.debug { "orders: read the engine again in ${action.delay}" }
        }
    }

    private fun recordEvent(event: EngineOrderEvent) {
        when (event) {
            is EngineOrderEvent.NumberAcquired -> {
                fencingNumber = event.number.value
                log.info { "orders: acquired fencing number ${event.number}" }
            }
            is EngineOrderEvent.StoreFailed -> log.warn { "orders: call of the store failed: ${event.detail}" }
            is EngineOrderEvent.EngineReadFailed ->
                log.warn { "orders: could not read the state of the engine: ${event.detail}" }
            is EngineOrderEvent.OrderDone -> recordResult(OrderResult.DONE)
            is EngineOrderEvent.OrderWithheld -> recordResult(OrderResult.WITHHELD)
            is EngineOrderEvent.OrderRefused -> recordResult(OrderResult.REFUSED, event.detail)
            is EngineOrderEvent.OrderFailed -> recordResult(resultOf(event), event.detail)
            else -> Unit
        }
    }

    private fun resultOf(event: EngineOrderEvent.OrderFailed): OrderResult =
        if (event.mayHaveTakenEffect) OrderResult.UNKNOWN else OrderResult.FAILED

    private fun recordResult(result: OrderResult, detail: String = "") {
        val order: Order = checkNotNull(lastSentOrder) { "an order ended without having been sent" }.order
        metrics.countOrder(order, result)
        log.info { "orders: $order ended as $result${if (detail.isEmpty()) "" else ": $detail"}" }
    }

    private fun updateSettled() {
        if (reconciler.isSettled && !isSettled) log.info { "orders: the engine is in the desired state" }
        isSettled = reconciler.isSettled
    }

    private companion object {
        fun timings(settings: EngineOrderSettings) = EngineOrderTimings(
            reconcileInterval = settings.reconcileInterval,
            weightLoadsPerSecond = settings.weightLoadsPerSecond,
        )
    }
}
