package org.bilberryhead.core.order

import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.FencingNumber
import org.bilberryhead.core.tables.Tables
import kotlin.time.Duration
import kotlin.time.Instant

/** Identifies one action of an [EngineReconciler], so that results of superseded actions can be ignored. */
@JvmInline
value class ActionId(val value: Long)

/** Input of an [EngineReconciler]. */
sealed interface EngineOrderEvent {
    /** The action whose result the event reports, or null if it reports none. */
    val actionId: ActionId? get() = null

    /** The sidecar has started. */
    data object Started : EngineOrderEvent

    /**
     * The tables have changed, and with them possibly the desired state of the engine.
     *
     * @property desired null if the pool of the endpoint configures no engine
     * @property sidecarCount number of endpoints in pools that configure an engine; their sidecars share the rate of
     * weight loads
     */
    data class DesiredStateChanged(val desired: DesiredEngineState?, val sidecarCount: Int) : EngineOrderEvent {
        companion object {
            /** Returns the event for [tables], as seen by the sidecar of [endpoint]. */
            fun of(tables: Tables, endpoint: EndpointId): DesiredStateChanged {
                val enginePools = tables.pools.values.filter { it.engine != null }
                val configuration = enginePools.find { pool -> pool.endpoints.any { it.id == endpoint } }?.engine
                return DesiredStateChanged(
                    configuration?.let(DesiredEngineState::of),
                    enginePools.sumOf { it.endpoints.size },
                )
            }
        }
    }

    /** The sidecar acquired [number] from the store in a call that started at [startedAt]. */
    data class NumberAcquired(override val actionId: ActionId, val number: FencingNumber, val startedAt: Instant) :
        EngineOrderEvent

    /** A read of the store that started at [startedAt] returned [number], or null if the endpoint has none. */
    data class NumberRead(override val actionId: ActionId, val number: FencingNumber?, val startedAt: Instant) :
        EngineOrderEvent

    /** A call to the store failed; [detail] gives the reason. */
    data class StoreFailed(override val actionId: ActionId, val detail: String) : EngineOrderEvent

    /** A read of the engine returned [engineState]. */
    data class EngineRead(override val actionId: ActionId, val engineState: EngineState) : EngineOrderEvent

    /** Reading the state of the engine failed; [detail] gives the reason. */
    data class EngineReadFailed(override val actionId: ActionId, val detail: String) : EngineOrderEvent

    /** The engine executed the order. */
    data class OrderDone(override val actionId: ActionId) : EngineOrderEvent

    /** The engine refused the order because it has seen a newer fencing number. */
    data class OrderRefused(override val actionId: ActionId, val detail: String) : EngineOrderEvent

    /** The order failed. [mayHaveTakenEffect] tells whether the engine may have executed it or may still do so. */
    data class OrderFailed(override val actionId: ActionId, val detail: String, val mayHaveTakenEffect: Boolean) :
        EngineOrderEvent

    /** The order was not sent, because [EngineOrderAction.SendOrder.validUntil] had passed. */
    data class OrderWithheld(override val actionId: ActionId) : EngineOrderEvent

    /** The timer set by [EngineOrderAction.StartTimer] is due. */
    data class TimerDue(override val actionId: ActionId) : EngineOrderEvent

    /** The sidecar was requested to leave and must send no more orders. */
    data object Leaving : EngineOrderEvent
}

/** Why an [EngineReconciler] waits. */
enum class WaitReason { LOAD_SLOT, RETRY, RECONCILE }

/** Why an [EngineReconciler] has stopped permanently. */
enum class StopReason { SUPERSEDED, LEAVING }

/** What an [EngineReconciler] requests of its sidecar. One event must report the result of each action with an id. */
sealed interface EngineOrderAction {
    /** Acquire the endpoint's next fencing number from the store. */
    data class AcquireNumber(val actionId: ActionId) : EngineOrderAction

    /** Read the fencing number that the store holds for the endpoint. */
    data class ReadNumber(val actionId: ActionId) : EngineOrderAction

    /** Read the state of the engine. */
    data class ReadEngine(val actionId: ActionId) : EngineOrderAction

    /** Send [order] with [number], but only if the clock is before [validUntil] right before sending. */
    data class SendOrder(
        val actionId: ActionId,
        val order: Order,
        val number: FencingNumber,
        val validUntil: Instant,
    ) : EngineOrderAction

    /** Report [EngineOrderEvent.TimerDue] after [delay]. Replaces any earlier timer. */
    data class StartTimer(val actionId: ActionId, val delay: Duration, val reason: WaitReason) : EngineOrderAction

    /** The reconciler has stopped; no further action follows. */
    data class Stop(val reason: StopReason) : EngineOrderAction
}
