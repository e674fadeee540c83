package org.bilberryhead.core.order

import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.FencingNumber
import org.bilberryhead.core.tables.Tables
import kotlin.time.Duration
import kotlin.time.Instant

/** Names one action of a loop, so that the answer to an earlier one is told apart. */
@JvmInline
value class ActionId(val value: Long)

/** What can happen to an [EngineReconciler]. */
sealed interface EngineOrderEvent {
    /** The action that the event answers, or null when it answers none. */
    val actionId: ActionId? get() = null

    /** The sidecar runs. */
    data object Started : EngineOrderEvent

    /**
     * The tables are known anew.
     *
     * @property desired null when the pool's row asks for nothing
     * @property sidecars number of endpoints whose rows ask for something, which share the rate of weight loads
     */
    data class DesiredStateChanged(val desired: DesiredEngineState?, val sidecars: Int) : EngineOrderEvent {
        companion object {
            /** Returns what [tables] ask of [endpoint]. */
            fun of(tables: Tables, endpoint: EndpointId): DesiredStateChanged {
                val ordered = tables.pools.values.filter { it.engine != null }
                val row = ordered.find { pool -> pool.endpoints.any { it.id == endpoint } }?.engine
                return DesiredStateChanged(row?.let(DesiredEngineState::of), ordered.sumOf { it.endpoints.size })
            }
        }
    }

    /** [number] is taken, by a call that began at [startedAt]. */
    data class NumberTaken(override val actionId: ActionId, val number: FencingNumber, val startedAt: Instant) :
        EngineOrderEvent

    /** The store shows [number], null for none, in a read that began at [startedAt]. */
    data class NumberRead(override val actionId: ActionId, val number: FencingNumber?, val startedAt: Instant) :
        EngineOrderEvent

    /** The store did not tell. */
    data class StoreFailed(override val actionId: ActionId, val detail: String) : EngineOrderEvent

    /** The engine reports what it has loaded. */
    data class EngineRead(override val actionId: ActionId, val loaded: EngineState) : EngineOrderEvent

    /** The engine did not tell what it has loaded. */
    data class EngineReadFailed(override val actionId: ActionId, val detail: String) : EngineOrderEvent

    /** The engine carried the order out. */
    data class OrderDone(override val actionId: ActionId) : EngineOrderEvent

    /** The engine refused the order, as it has seen a newer number. */
    data class OrderRefused(override val actionId: ActionId, val detail: String) : EngineOrderEvent

    /** The order failed. [mayHaveTakenEffect] tells whether the engine may have carried it out, or may still do so. */
    data class OrderFailed(override val actionId: ActionId, val detail: String, val mayHaveTakenEffect: Boolean) :
        EngineOrderEvent

    /** The order was not sent, because its time had passed. */
    data class OrderWithheld(override val actionId: ActionId) : EngineOrderEvent

    /** A timer of the loop is due. */
    data class TimerDue(override val actionId: ActionId) : EngineOrderEvent

    /** The sidecar is leaving. */
    data object Leaving : EngineOrderEvent
}

/** Why a loop waits. */
enum class WaitReason { LOAD_SLOT, RETRY, RECONCILE }

/** Why a loop has stopped for good. */
enum class StopReason { SUPERSEDED, LEAVING }

/** What an [EngineReconciler] asks its daemon to do. An action with an id is to be answered by one event. */
sealed interface EngineOrderAction {
    /** Take the endpoint's next fencing number. */
    data class TakeNumber(val actionId: ActionId) : EngineOrderAction

    /** Read the number that stands for the endpoint. */
    data class ReadNumber(val actionId: ActionId) : EngineOrderAction

    /** Ask the engine what it has loaded. */
    data class ReadEngine(val actionId: ActionId) : EngineOrderAction

    /** Send [order] with [number], unless the clock shows [usableUntil] or later right before it is sent. */
    data class SendOrder(
        val actionId: ActionId,
        val order: Order,
        val number: FencingNumber,
        val usableUntil: Instant,
    ) : EngineOrderAction

    /** Report [EngineOrderEvent.TimerDue] after [delay]. An earlier timer may be forgotten. */
    data class StartTimer(val actionId: ActionId, val delay: Duration, val reason: WaitReason) : EngineOrderAction

    /** Nothing more will be asked for. */
    data class Stop(val reason: StopReason) : EngineOrderAction
}
