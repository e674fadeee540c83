package org.bilberryhead.core.testing.order

import org.bilberryhead.core.order.DesiredEngineState
import org.bilberryhead.core.order.EngineState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What every session of engine orders must keep. */
internal enum class OrderPromise {
    /** The engine has at the end what the newest holder wants. */
    ENDS_AS_WANTED,

    /** Where numbers are checked, no order takes effect after one with a higher number. */
    NO_OLD_EFFECT,

    /** What an order of an earlier holder changed does not stand once the newest holder has looked again. */
    OLD_EFFECT_CORRECTED,

    /** Each order follows a read of its own that shows its number, begun within the validity. */
    CONFIRMED_BEFORE,

    /** The first thing after an order that is done is another read of the number. */
    CONFIRMED_AFTER,

    /** The engine is asked what it has loaded between any two orders of a holder. */
    READ_BETWEEN_ORDERS,

    /** A holder begins no two weight loads within its interval. */
    LOADS_SPACED,

    /** A holder that was shown another holder's number does nothing more. */
    STOPS_WHEN_SUPERSEDED,
}

/** A broken promise. */
internal data class OrderViolation(val promise: OrderPromise, val detail: String)

/** Judges a finished session by what happened, whatever the loops believed. */
internal class OrderJudge(private val session: OrderSession, private val cell: OrderCell) {
    /** Returns every broken promise. */
    fun verdict(): List<OrderViolation> = buildList {
        addAll(ending())
        addAll(oldEffects())
        addAll(session.records.groupBy { it.holder }.values.flatMap(::ofHolder))
    }

    private fun ending(): List<OrderViolation> {
        val wanted = session.demands.lastOrNull()?.wanted
        if (wanted != null && isAsWanted(session.engine.loaded, wanted)) return emptyList()
        return listOf(OrderViolation(OrderPromise.ENDS_AS_WANTED, "${session.engine.loaded}, not $wanted"))
    }

    private fun oldEffects(): List<OrderViolation> {
        val effects = session.records.filterIsInstance<OrderRecord.Effect>()
        val disorder = effects.zipWithNext().filter { (first, second) -> cell.checks && second.number < first.number }
        val standing = effects.filter { it.number < it.newest && !isCorrected(it.at) }
        return disorder.map { OrderViolation(OrderPromise.NO_OLD_EFFECT, "$it") } +
            standing.map { OrderViolation(OrderPromise.OLD_EFFECT_CORRECTED, "$it") }
    }

    private fun isCorrected(effect: Instant): Boolean {
        val limit = if (cell.injections.size > 1) LIMIT_WITH_OTHER_FAULTS else LIMIT
        val end = session.demands.map { it.since }.fold(effect + limit) { end, change ->
            if (change in effect..end) change + limit else end
        }
        return session.engine.spans.any { span -> span.since in effect..end && isAsWantedThen(span) }
    }

    private fun isAsWantedThen(span: EngineSpan): Boolean =
        isAsWanted(span.loaded, session.demands.last { it.since <= span.since }.wanted)

    private fun isAsWanted(loaded: EngineState, wanted: DesiredEngineState): Boolean =
        loaded == EngineState(setOf(wanted.model), wanted.adapters, wanted.role)

    private fun ofHolder(records: List<OrderRecord>): List<OrderViolation> {
        val own = records.filter { it !is OrderRecord.Effect }
        val orders = own.withIndex().filter { it.value is OrderRecord.OrderChecked }.map { it.index }
        val starts = listOf(0) + orders.map { it + 1 }
        return orders.flatMapIndexed { index, at -> beforeOrder(own.subList(starts[index], at + 1)) } +
            own.zipWithNext().flatMap { (first, second) -> afterOrder(first, second) } +
            loadsOf(own) +
            own.zipWithNext().flatMap { (first, second) -> afterNewer(first, second) }
    }

    private fun afterNewer(first: OrderRecord, second: OrderRecord): List<OrderViolation> {
        val shown = (first as? OrderRecord.NumberShown)?.number ?: return emptyList()
        if (session.fence.taken[shown] == first.holder) return emptyList()
        return listOf(OrderViolation(OrderPromise.STOPS_WHEN_SUPERSEDED, "$first, then $second"))
    }

    private fun beforeOrder(records: List<OrderRecord>): List<OrderViolation> = buildList {
        val order = records.last() as OrderRecord.OrderChecked
        val shown = records.filterIsInstance<OrderRecord.NumberShown>().lastOrNull()
        if (shown?.number != order.number || order.at >= shown.begun + OrderSession.TIMINGS.validity) {
            add(OrderViolation(OrderPromise.CONFIRMED_BEFORE, "$order after $shown"))
        }
        if (records.none { it is OrderRecord.EngineShown }) {
            add(OrderViolation(OrderPromise.READ_BETWEEN_ORDERS, "$order"))
        }
    }

    private fun afterOrder(first: OrderRecord, second: OrderRecord): List<OrderViolation> {
        if (first !is OrderRecord.OrderDone || second is OrderRecord.NumberShown) return emptyList()
        // The engine is asked next only when the store did not tell.
        if (second.at - first.at > STORE_ANSWER_LIMIT) return emptyList()
        return listOf(OrderViolation(OrderPromise.CONFIRMED_AFTER, "$first, then $second"))
    }

    private fun loadsOf(records: List<OrderRecord>): List<OrderViolation> {
        val loads = records.filterIsInstance<OrderRecord.OrderChecked>().filter { it.order.loadsWeights }
        val interval = (OrderSession.SIDECARS / OrderSession.TIMINGS.weightLoadsPerSecond).seconds
        return loads.zipWithNext().filter { (first, second) -> second.at - first.at < interval }
            .map { OrderViolation(OrderPromise.LOADS_SPACED, "$it") }
    }

    private companion object {
        /** A look within 30 s, then orders and the spacing of the weight loads. */
        val LIMIT: Duration = 60.seconds

        /** The same when another fault of 40 s or a pause of 60 s, and the delays of the retries, come on top. */
        val LIMIT_WITH_OTHER_FAULTS: Duration = 200.seconds

        val STORE_ANSWER_LIMIT = 200.milliseconds
    }
}
