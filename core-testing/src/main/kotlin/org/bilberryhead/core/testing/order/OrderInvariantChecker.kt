package org.bilberryhead.core.testing.order

import org.bilberryhead.core.order.DesiredEngineState
import org.bilberryhead.core.order.EngineState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Invariants that every session of engine orders must keep. */
internal enum class OrderInvariant {
    /** At the end the engine is in the state that the holder of the highest number desires. */
    ENDS_AS_WANTED,

    /** If the engine checks numbers, no order takes effect after one with a higher number. */
    NO_OLD_EFFECT,

    /** The current holder's next reconciliation corrects what a late order of an earlier holder changed. */
    OLD_EFFECT_CORRECTED,

    /** Each order follows its own read that returned its number and that started within the number's validity. */
    CONFIRMED_BEFORE,

    /** The first action after a completed order is another read of the number. */
    CONFIRMED_AFTER,

    /** Between any two orders of a holder, it reads what the engine has loaded. */
    READ_BETWEEN_ORDERS,

    /** A holder starts no two weight loads within its interval. */
    LOADS_SPACED,

    /** A holder that reads another holder's number performs no further action. */
    STOPS_WHEN_SUPERSEDED,
}

/** An invariant that a session violated, with what was seen. */
internal data class OrderViolation(val invariant: OrderInvariant, val detail: String)

/** Checks a finished session by its recorded events, regardless of the state of the reconcilers. */
internal class OrderInvariantChecker(private val session: OrderSession, private val cell: OrderCell) {
    /** Returns all violations. */
    fun check(): List<OrderViolation> = buildList {
        addAll(checkFinalState())
        addAll(checkStaleEffects())
        addAll(session.records.groupBy { it.holder }.values.flatMap(::checkHolder))
    }

    private fun checkFinalState(): List<OrderViolation> {
        val desired = session.desiredStates.lastOrNull()?.desired
        if (desired != null && isAsDesired(session.engine.loaded, desired)) return emptyList()
        return listOf(OrderViolation(OrderInvariant.ENDS_AS_WANTED, "${session.engine.loaded}, not $desired"))
    }

    private fun checkStaleEffects(): List<OrderViolation> {
        val effects = session.records.filterIsInstance<OrderRecord.Effect>()
        val outOfOrder = effects.zipWithNext().filter { (first, second) ->
            cell.checksFencing && second.number < first.number
        }
        val uncorrected = effects.filter { it.number < it.highestNumber && !isCorrected(it.at) }
        return outOfOrder.map { OrderViolation(OrderInvariant.NO_OLD_EFFECT, "$it") } +
            uncorrected.map { OrderViolation(OrderInvariant.OLD_EFFECT_CORRECTED, "$it") }
    }

    private fun isCorrected(effect: Instant): Boolean {
        val timeout = if (cell.injections.size > 1) CORRECTION_TIMEOUT_WITH_OTHER_FAULTS else CORRECTION_TIMEOUT
        val end = session.desiredStates.map { it.since }.fold(effect + timeout) { end, change ->
            if (change in effect..end) change + timeout else end
        }
        return session.engine.spans.any { span -> span.since in effect..end && wasAsDesired(span) }
    }

    private fun wasAsDesired(span: EngineSpan): Boolean =
        isAsDesired(span.loaded, session.desiredStates.last { it.since <= span.since }.desired)

    private fun isAsDesired(loaded: EngineState, desired: DesiredEngineState): Boolean =
        loaded == EngineState(setOf(desired.model), desired.adapters, desired.role)

    private fun checkHolder(records: List<OrderRecord>): List<OrderViolation> {
        val own = records.filter { it !is OrderRecord.Effect }
        val orders = own.withIndex().filter { it.value is OrderRecord.OrderChecked }.map { it.index }
        val starts = listOf(0) + orders.map { it + 1 }
        return orders.flatMapIndexed { index, at -> checkBeforeOrder(own.subList(starts[index], at + 1)) } +
            own.zipWithNext().flatMap { (first, second) -> checkAfterOrder(first, second) } +
            checkLoadSpacing(own) +
            own.zipWithNext().flatMap { (first, second) -> checkStopsWhenSuperseded(first, second) }
    }

    private fun checkStopsWhenSuperseded(first: OrderRecord, second: OrderRecord): List<OrderViolation> {
        val read = (first as? OrderRecord.NumberRead)?.number ?: return emptyList()
        if (session.fencing.acquired[read] == first.holder) return emptyList()
        return listOf(OrderViolation(OrderInvariant.STOPS_WHEN_SUPERSEDED, "$first, then $second"))
    }

    private fun checkBeforeOrder(records: List<OrderRecord>): List<OrderViolation> = buildList {
        val order = records.last() as OrderRecord.OrderChecked
        val read = records.filterIsInstance<OrderRecord.NumberRead>().lastOrNull()
        if (read?.number != order.number || order.at >= read.startedAt + OrderSession.TIMINGS.validity) {
            add(OrderViolation(OrderInvariant.CONFIRMED_BEFORE, "$order after $read"))
        }
        if (records.none { it is OrderRecord.EngineRead }) {
            add(OrderViolation(OrderInvariant.READ_BETWEEN_ORDERS, "$order"))
        }
    }

    private fun checkAfterOrder(first: OrderRecord, second: OrderRecord): List<OrderViolation> {
        if (first !is OrderRecord.OrderDone || second is OrderRecord.NumberRead) return emptyList()
        // After a longer gap the read of the number failed; only successful reads are recorded.
        if (second.at - first.at > MAXIMUM_NUMBER_READ_TIME) return emptyList()
        return listOf(OrderViolation(OrderInvariant.CONFIRMED_AFTER, "$first, then $second"))
    }

    private fun checkLoadSpacing(records: List<OrderRecord>): List<OrderViolation> {
        val loads = records.filterIsInstance<OrderRecord.OrderChecked>().filter { it.order.loadsWeights }
        val interval = (OrderSession.SIDECARS / OrderSession.TIMINGS.weightLoadsPerSecond).seconds
        return loads.zipWithNext().filter { (first, second) -> second.at - first.at < interval }
            .map { OrderViolation(OrderInvariant.LOADS_SPACED, "$it") }
    }

    private companion object {
        /** A reconciliation within 30 s, then the orders with the spacing between weight loads. */
        val CORRECTION_TIMEOUT: Duration = 60.seconds

        /** As above, plus another fault of 40 s or a pause of 60 s, and the retry delays. */
        val CORRECTION_TIMEOUT_WITH_OTHER_FAULTS: Duration = 200.seconds

        val MAXIMUM_NUMBER_READ_TIME = 200.milliseconds
    }
}
