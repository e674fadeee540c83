package org.bilberryhead.core.order

import org.bilberryhead.core.common.FencingNumber
import org.bilberryhead.core.lease.LeaseHolder
import org.bilberryhead.core.lease.LeaseState
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Timings and limits of an [EngineReconciler].
 *
 * @property validity how long a fencing number may be used after the start of the call that returned it
 * @property reconcileInterval maximum delay between two reads of an engine that has the desired state
 * @property initialRetryDelay maximum delay before the first retry
 * @property maximumRetryDelay maximum delay before any retry
 * @property weightLoadsPerSecond weight loads that all sidecars together may start per second
 */
data class EngineOrderTimings(
    val validity: Duration = 5.seconds,
    val reconcileInterval: Duration = 30.seconds,
    val initialRetryDelay: Duration = 500.milliseconds,
    val maximumRetryDelay: Duration = 30.seconds,
    val weightLoadsPerSecond: Double = 10.0,
)

/**
 * Reconciles one engine with the configuration in its pool's row, with one order at a time.
 *
 * It reads the stored fencing number before each order and again after it, and stops permanently when it finds a newer
 * number. It reads the state of the engine before every order, retries included, and periodically once the engine has
 * the desired state. An engine that does not check fencing numbers may execute a delayed order of an earlier holder;
 * the periodic read detects this, and new orders correct it. The transitions are in `statecharts/engine-order.yaml`.
 *
 * Not thread-safe.
 */
class EngineReconciler(private val timings: EngineOrderTimings = EngineOrderTimings(), seed: Long) {
    private val random = Random(seed)
    private val lease = LeaseHolder(timings.validity)
    private val loadLimiter = WeightLoadLimiter(timings.weightLoadsPerSecond, random)
    private val backoff = Backoff(timings.initialRetryDelay, timings.maximumRetryDelay, random)
    private var desired: DesiredEngineState? = null
    private var sidecarCount = 1
    private var plannedOrder: Order? = null
    private var actionId = ActionId(0)

    /** Current state in the state chart. */
    var state: EngineOrderState = EngineOrderChart.chart.initial
        private set

    /**
     * Whether the engine had the desired state when it was last read. True if there is no desired state, false once the
     * reconciler has stopped.
     */
    var isSettled: Boolean = true
        private set

    /** Handles [event], which happened at [now], and returns the actions to perform, in order. */
    fun handle(event: EngineOrderEvent, now: Instant): List<EngineOrderAction> {
        if (event.actionId != null && event.actionId != actionId) return emptyList()
        val trigger = triggerOf(event, now) ?: return emptyList()
        val actions = applyTrigger(trigger, now)
        val canStart = trigger == EngineOrderTrigger.NUMBER_ACQUIRED && desired != null
        return if (canStart) actions + applyTrigger(EngineOrderTrigger.DESIRED_STATE_CHANGED, now) else actions
    }

    private fun applyTrigger(trigger: EngineOrderTrigger, now: Instant): List<EngineOrderAction> {
        val transition = EngineOrderChart.chart.next(state, trigger)
        state = transition.target
        return listOfNotNull(transition.action?.let { actionFor(it, now) })
    }

    private fun triggerOf(event: EngineOrderEvent, now: Instant): EngineOrderTrigger? = when (event) {
        EngineOrderEvent.Started -> EngineOrderTrigger.START
        EngineOrderEvent.Leaving -> EngineOrderTrigger.LEAVE
        is EngineOrderEvent.DesiredStateChanged -> handleDesiredState(event)
        is EngineOrderEvent.NumberAcquired -> handleNumberAcquired(event)
        is EngineOrderEvent.NumberRead -> handleNumberRead(event, now)
        is EngineOrderEvent.StoreFailed -> EngineOrderTrigger.STORE_FAILED
        is EngineOrderEvent.EngineRead -> planNextOrder(event.engineState, now)
        is EngineOrderEvent.EngineReadFailed -> EngineOrderTrigger.ENGINE_READ_FAILED
        is EngineOrderEvent.OrderDone -> EngineOrderTrigger.ORDER_DONE.also { backoff.reset() }
        is EngineOrderEvent.OrderRefused -> EngineOrderTrigger.ORDER_REFUSED
        is EngineOrderEvent.OrderFailed -> EngineOrderTrigger.ORDER_FAILED
        is EngineOrderEvent.OrderWithheld -> EngineOrderTrigger.ORDER_WITHHELD
        is EngineOrderEvent.TimerDue -> EngineOrderTrigger.TIMER_DUE
    }

    private fun handleDesiredState(event: EngineOrderEvent.DesiredStateChanged): EngineOrderTrigger? {
        sidecarCount = event.sidecarCount
        if (event.desired == desired) return null
        desired = event.desired
        isSettled = desired == null
        backoff.reset()
        return if (desired == null) {
            EngineOrderTrigger.DESIRED_STATE_REMOVED
        } else {
            EngineOrderTrigger.DESIRED_STATE_CHANGED
        }
    }

    private fun handleNumberAcquired(event: EngineOrderEvent.NumberAcquired): EngineOrderTrigger {
        lease.recordAcquired(event.number, event.startedAt)
        backoff.reset()
        return EngineOrderTrigger.NUMBER_ACQUIRED
    }

    private fun handleNumberRead(event: EngineOrderEvent.NumberRead, now: Instant): EngineOrderTrigger {
        lease.recordRead(event.number ?: NO_NUMBER, event.startedAt)
        if (lease.state == LeaseState.LOST) return EngineOrderTrigger.NUMBER_SUPERSEDED
        return if (lease.validNumber(now) == null) {
            EngineOrderTrigger.NUMBER_EXPIRED
        } else {
            EngineOrderTrigger.NUMBER_CONFIRMED
        }
    }

    private fun planNextOrder(loaded: EngineState, now: Instant): EngineOrderTrigger {
        val target = desired ?: return EngineOrderTrigger.DESIRED_STATE_REMOVED
        val order = EngineOrderPlanner.next(target, loaded)
        plannedOrder = order
        isSettled = order == null
        return when {
            order == null -> EngineOrderTrigger.STATE_MATCHES.also { handleDesiredStateReached() }
            order.loadsWeights && loadLimiter.delayBeforeLoad(now, sidecarCount).isPositive() ->
                EngineOrderTrigger.LOAD_DEFERRED
            else -> EngineOrderTrigger.STATE_DIFFERS
        }
    }

    private fun handleDesiredStateReached() {
        loadLimiter.releaseSlot()
        backoff.reset()
    }

    private fun actionFor(step: EngineOrderStep, now: Instant): EngineOrderAction? {
        actionId = ActionId(actionId.value + 1)
        return when (step) {
            EngineOrderStep.ACQUIRE_NUMBER -> EngineOrderAction.AcquireNumber(actionId)
            EngineOrderStep.READ_NUMBER -> EngineOrderAction.ReadNumber(actionId)
            EngineOrderStep.READ_ENGINE -> EngineOrderAction.ReadEngine(actionId)
            EngineOrderStep.SEND_ORDER -> sendOrder(now)
            EngineOrderStep.WAIT_FOR_LOAD_SLOT ->
                startTimer(loadLimiter.delayBeforeLoad(now, sidecarCount), WaitReason.LOAD_SLOT)
            EngineOrderStep.WAIT_TO_RETRY -> startTimer(backoff.nextDelay(), WaitReason.RETRY)
            EngineOrderStep.WAIT_TO_RECONCILE -> startTimer(reconcileDelay(), WaitReason.RECONCILE)
            EngineOrderStep.IGNORE_PENDING_RESULT -> null
            EngineOrderStep.STOP -> stop()
        }
    }

    private fun sendOrder(now: Instant): EngineOrderAction {
        val order = checkNotNull(plannedOrder) { "no order has been planned" }
        val number = checkNotNull(lease.validNumber(now)) { "no valid fencing number is held for the order" }
        if (order.loadsWeights) loadLimiter.recordLoadStarted(now, sidecarCount)
        return EngineOrderAction.SendOrder(actionId, order, number, lease.validUntil)
    }

    private fun startTimer(delay: Duration, reason: WaitReason) = EngineOrderAction.StartTimer(actionId, delay, reason)

    private fun reconcileDelay(): Duration =
        timings.reconcileInterval * random.nextDouble(MINIMUM_RECONCILE_FACTOR, 1.0)

    private fun stop(): EngineOrderAction {
        isSettled = false
        val isSuperseded = state == EngineOrderState.SUPERSEDED
        return EngineOrderAction.Stop(if (isSuperseded) StopReason.SUPERSEDED else StopReason.LEAVING)
    }

    private companion object {
        /** Used when the store holds no number for the endpoint; never issued to a holder. */
        val NO_NUMBER = FencingNumber(0)

        /** Lower bound of the random factor that spreads the periodic reads of all engines over time. */
        const val MINIMUM_RECONCILE_FACTOR = 0.5
    }
}
