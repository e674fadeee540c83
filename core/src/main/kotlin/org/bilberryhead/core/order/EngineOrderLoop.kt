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
 * Times of an [EngineOrderLoop].
 *
 * @property validity how long a fencing number may be used after the begin of the read that showed it
 * @property reconcileInterval longest time between two looks at what the engine has loaded
 * @property firstRetry longest delay before the first retry
 * @property longestRetry longest delay between later retries
 * @property weightLoadsPerSecond weight loads that all sidecars together may begin in a second
 */
data class EngineOrderTimings(
    val validity: Duration = 5.seconds,
    val reconcileInterval: Duration = 30.seconds,
    val firstRetry: Duration = 500.milliseconds,
    val longestRetry: Duration = 30.seconds,
    val weightLoadsPerSecond: Double = 10.0,
)

/**
 * Brings one engine to what its pool's row asks for, by one order at a time.
 *
 * Before each order the stored fencing number is read, and after it once more. The engine is asked what it has loaded
 * before every order, also before one is repeated, and again and again afterwards: where an engine takes orders with an
 * old number, that is what corrects a late order of an earlier holder. A loop that finds a newer number stops for good.
 * The transitions are in `statecharts/engine-order.yaml`.
 *
 * Not safe for use by several threads.
 */
class EngineOrderLoop(private val timings: EngineOrderTimings = EngineOrderTimings(), seed: Long) {
    private val random = Random(seed)
    private val lease = LeaseHolder(timings.validity)
    private val limit = WeightLoadLimit(timings.weightLoadsPerSecond, random)
    private val backoff = Backoff(timings.firstRetry, timings.longestRetry, random)
    private var wanted: WantedEngine? = null
    private var sidecars = 1
    private var planned: Order? = null
    private var turn = Turn(0)

    /** Where the loop stands. */
    var state: EngineOrderState = EngineOrderChart.chart.initial
        private set

    /** Whether the engine had everything that is wanted when it was last asked; true when nothing is wanted. */
    var isSettled: Boolean = true
        private set

    /** Takes [event], which happened at [now], and returns what to do. */
    fun handle(event: EngineOrderEvent, now: Instant): List<EngineOrderAction> {
        if (event.turn != null && event.turn != turn) return emptyList()
        val trigger = triggerOf(event, now) ?: return emptyList()
        val actions = apply(trigger, now)
        val isNew = trigger == EngineOrderTrigger.TAKEN && wanted != null
        return if (isNew) actions + apply(EngineOrderTrigger.WANTED, now) else actions
    }

    private fun apply(trigger: EngineOrderTrigger, now: Instant): List<EngineOrderAction> {
        val transition = EngineOrderChart.chart.next(state, trigger)
        state = transition.target
        return listOfNotNull(transition.action?.let { actionFor(it, now) })
    }

    private fun triggerOf(event: EngineOrderEvent, now: Instant): EngineOrderTrigger? = when (event) {
        EngineOrderEvent.Started -> EngineOrderTrigger.START
        EngineOrderEvent.Leaving -> EngineOrderTrigger.LEAVE
        is EngineOrderEvent.Wanted -> wantedChanged(event)
        is EngineOrderEvent.NumberTaken -> numberTaken(event)
        is EngineOrderEvent.NumberRead -> numberRead(event, now)
        is EngineOrderEvent.StoreFailed -> EngineOrderTrigger.STORE_FAILED
        is EngineOrderEvent.EngineRead -> plan(event.loaded, now)
        is EngineOrderEvent.EngineSilent -> EngineOrderTrigger.ENGINE_SILENT
        is EngineOrderEvent.OrderDone -> EngineOrderTrigger.DONE.also { backoff.reset() }
        is EngineOrderEvent.OrderRefused -> EngineOrderTrigger.REFUSED
        is EngineOrderEvent.OrderFailed -> EngineOrderTrigger.FAILED
        is EngineOrderEvent.OrderWithheld -> EngineOrderTrigger.WITHHELD
        is EngineOrderEvent.TimerDue -> EngineOrderTrigger.TIMER_DUE
    }

    private fun wantedChanged(event: EngineOrderEvent.Wanted): EngineOrderTrigger? {
        sidecars = event.sidecars
        if (event.wanted == wanted) return null
        wanted = event.wanted
        isSettled = wanted == null
        backoff.reset()
        return if (wanted == null) EngineOrderTrigger.UNWANTED else EngineOrderTrigger.WANTED
    }

    private fun numberTaken(event: EngineOrderEvent.NumberTaken): EngineOrderTrigger {
        lease.recordAcquired(event.number, event.begun)
        backoff.reset()
        return EngineOrderTrigger.TAKEN
    }

    private fun numberRead(event: EngineOrderEvent.NumberRead, now: Instant): EngineOrderTrigger {
        lease.recordRead(event.number ?: NO_NUMBER, event.begun)
        if (lease.state == LeaseState.LOST) return EngineOrderTrigger.SUPERSEDED
        return if (lease.validNumber(now) == null) EngineOrderTrigger.LAPSED else EngineOrderTrigger.CONFIRMED
    }

    private fun plan(loaded: LoadedEngine, now: Instant): EngineOrderTrigger {
        val target = wanted ?: return EngineOrderTrigger.UNWANTED
        val order = EngineOrderPlanner.next(target, loaded)
        planned = order
        isSettled = order == null
        return when {
            order == null -> EngineOrderTrigger.EQUAL.also { settled() }
            order.loadsWeights && limit.waitBeforeLoad(now, sidecars).isPositive() -> EngineOrderTrigger.LOAD_LIMITED
            else -> EngineOrderTrigger.DIFFERENT
        }
    }

    private fun settled() {
        limit.release()
        backoff.reset()
    }

    private fun actionFor(step: EngineOrderStep, now: Instant): EngineOrderAction? {
        turn = Turn(turn.value + 1)
        return when (step) {
            EngineOrderStep.TAKE_NUMBER -> EngineOrderAction.TakeNumber(turn)
            EngineOrderStep.READ_NUMBER -> EngineOrderAction.ReadNumber(turn)
            EngineOrderStep.READ_ENGINE -> EngineOrderAction.ReadEngine(turn)
            EngineOrderStep.SEND_ORDER -> sendOrder(now)
            EngineOrderStep.WAIT_FOR_SLOT -> startTimer(limit.waitBeforeLoad(now, sidecars), WaitReason.LOAD_SLOT)
            EngineOrderStep.BACK_OFF -> startTimer(backoff.nextDelay(), WaitReason.RETRY)
            EngineOrderStep.WAIT_TO_RECONCILE -> startTimer(reconcileDelay(), WaitReason.RECONCILE)
            EngineOrderStep.REST -> null
            EngineOrderStep.STOP -> stop()
        }
    }

    private fun sendOrder(now: Instant): EngineOrderAction {
        val order = checkNotNull(planned) { "an order is sent that was not planned" }
        val number = checkNotNull(lease.validNumber(now)) { "an order is sent without a confirmed lease" }
        if (order.loadsWeights) limit.begun(now, sidecars)
        return EngineOrderAction.SendOrder(turn, order, number, lease.validUntil)
    }

    private fun startTimer(delay: Duration, reason: WaitReason) = EngineOrderAction.StartTimer(turn, delay, reason)

    private fun reconcileDelay(): Duration = timings.reconcileInterval * random.nextDouble(SHORTEST_RECONCILE_PART, 1.0)

    private fun stop(): EngineOrderAction {
        isSettled = false
        val isSuperseded = state == EngineOrderState.SUPERSEDED
        return EngineOrderAction.Stop(if (isSuperseded) StopReason.SUPERSEDED else StopReason.LEAVING)
    }

    private companion object {
        /** Stands for a missing row; no holder ever has it. */
        val NO_NUMBER = FencingNumber(0)

        const val SHORTEST_RECONCILE_PART = 0.5
    }
}
