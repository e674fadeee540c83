package org.bilberryhead.core.testing.order

import org.bilberryhead.core.common.FencingNumber
import org.bilberryhead.core.order.AdapterName
import org.bilberryhead.core.order.EngineRole
import org.bilberryhead.core.order.EngineState
import org.bilberryhead.core.order.ModelVersion
import org.bilberryhead.core.order.Order
import org.bilberryhead.core.order.after
import kotlin.time.Instant

/** An engine that [checks] fencing numbers or ignores them. */
internal class ModelEngine(private val checks: Boolean, start: Instant) {
    private var highest = FencingNumber(0)

    /** What it has had loaded, in order of time. */
    val spans = mutableListOf(EngineSpan(start, OLD))

    /** What it has loaded. */
    val loaded: EngineState get() = spans.last().loaded

    /** Carries [order] out, unless its [number] is old and that is checked. */
    fun carryOut(order: Order, number: FencingNumber, now: Instant): Boolean {
        if (checks && number < highest) return false
        highest = maxOf(highest, number)
        spans += EngineSpan(now, loaded.after(order))
        return true
    }

    private companion object {
        val OLD = EngineState(setOf(ModelVersion("model-0")), setOf(AdapterName("adapter-0")), EngineRole("role-0"))
    }
}

/** The stored fencing number of the engine's endpoint. */
internal class ModelFence {
    /** Numbers taken so far, with their holders. */
    val taken = linkedMapOf<FencingNumber, String>()

    /** The number that stands, or null for none. */
    val current: FencingNumber? get() = taken.keys.lastOrNull()

    /** Takes the next number for [holder]; a holder that has taken the last one gets it again. */
    fun take(holder: String): FencingNumber {
        val last = current
        if (last != null && taken[last] == holder) return last
        return FencingNumber((last?.value ?: 0) + 1).also { taken[it] = holder }
    }
}
