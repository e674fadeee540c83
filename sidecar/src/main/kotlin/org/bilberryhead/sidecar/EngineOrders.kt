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

/** Runs an [EngineReconciler] on the sidecar's [control] thread, with its calls on others. */
internal class EngineOrders(
    private val settings: SidecarSettings,
    incarnation: Incarnation,
    private val clock: Clock,
    private val calls: EngineOrderExecutor,
    private val metrics: SidecarMetrics,
    private val scope: CoroutineScope,
    private val control: ControlThread,
) : AutoCloseable {
    private val loop = EngineReconciler(timings(settings.engineOrders), seed = incarnation.hashCode().toLong())
    private var timer: Job? = null
    private var sent: EngineOrderAction.SendOrder? = null

    @Volatile
    private var isSettled = true

    @Volatile
    private var fencingNumber = 0L

    /** Begins to take a number and to give orders. */
    fun start() {
        metrics.gauge("bilberry.engine.settled", "1 when the engine has what the tables ask for") {
            if (isSettled) 1 else 0
        }
        metrics.gauge("bilberry.engine.fencing.number", "Number of this run, 0 before it has one") { fencingNumber }
        handle(EngineOrderEvent.Started)
    }

    /** Gives no more orders. */
    fun leave() = handle(EngineOrderEvent.Leaving)

    /** Follows new [tables]; called on the control thread. */
    fun tablesChanged(tables: Tables) = step(EngineOrderEvent.DesiredStateChanged.of(tables, settings.endpoint))

    override fun close() = calls.close()

    private fun handle(event: EngineOrderEvent) = control.post { step(event) }

    private fun step(event: EngineOrderEvent) {
        record(event)
        val actions = loop.handle(event, clock.now())
        showSettled()
        actions.forEach(::perform)
    }

    private fun perform(action: EngineOrderAction) {
        announce(action)
        timer?.cancel()
        val job = scope.launch { calls.perform(action)?.let(::handle) }
        timer = job.takeIf { action is EngineOrderAction.StartTimer }
    }

    private fun announce(action: EngineOrderAction) {
        when (action) {
            is EngineOrderAction.SendOrder -> {
                sent = action
                log.info { "orders: send ${action.order} with number ${action.number}" }
            }
            is EngineOrderAction.StartTimer -> announceWait(action)
            is EngineOrderAction.Stop -> log.info { "orders: give no more orders, reason ${action.reason}" }
            else -> Unit
        }
    }

    private fun announceWait(action: EngineOrderAction.StartTimer) {
        metrics.countOrderWait(action.reason)
        when (action.reason) {
            WaitReason.LOAD_SLOT -> log.info { "orders: wait ${action.delay} for a slot to load weights" }
            WaitReason.RETRY -> log.info { "orders: wait ${action.delay} before the next try" }
            WaitReason.RECONCILE -> log.debug { "orders: look at the engine again in ${action.delay}" }
        }
    }

    private fun record(event: EngineOrderEvent) {
        when (event) {
            is EngineOrderEvent.NumberAcquired -> {
                fencingNumber = event.number.value
                log.info { "orders: took number ${event.number}" }
            }
            is EngineOrderEvent.StoreFailed -> log.warn { "orders: the store did not tell: ${event.detail}" }
            is EngineOrderEvent.EngineReadFailed -> log.warn { "orders: the engine did not tell: ${event.detail}" }
            is EngineOrderEvent.OrderDone -> ended(OrderResult.DONE)
            is EngineOrderEvent.OrderWithheld -> ended(OrderResult.WITHHELD)
            is EngineOrderEvent.OrderRefused -> ended(OrderResult.REFUSED, event.detail)
            is EngineOrderEvent.OrderFailed -> ended(resultOf(event), event.detail)
            else -> Unit
        }
    }

    private fun resultOf(event: EngineOrderEvent.OrderFailed): OrderResult =
        if (event.mayHaveTakenEffect) OrderResult.UNKNOWN else OrderResult.FAILED

    private fun ended(result: OrderResult, detail: String = "") {
        val order: Order = checkNotNull(sent) { "an order ended that was not sent" }.order
        metrics.countOrder(order, result)
        log.info { "orders: $order ended as $result${if (detail.isEmpty()) "" else ": $detail"}" }
    }

    private fun showSettled() {
        if (loop.isSettled && !isSettled) log.info { "orders: the engine has what the tables ask for" }
        isSettled = loop.isSettled
    }

    private companion object {
        fun timings(settings: EngineOrderSettings) = EngineOrderTimings(
            reconcileInterval = settings.reconcileInterval,
            weightLoadsPerSecond = settings.weightLoadsPerSecond,
        )
    }
}
