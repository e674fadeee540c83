package org.bilberryhead.core.testing.order

import org.bilberryhead.core.common.FencingNumber
import org.bilberryhead.core.order.AdapterName
import org.bilberryhead.core.order.EngineRole
import org.bilberryhead.core.order.EngineState
import org.bilberryhead.core.order.ModelVersion
import org.bilberryhead.core.order.Order
import org.bilberryhead.core.order.after
import kotlin.time.Instant

/** A model of an engine; rejects orders with old fencing numbers only when it [checksFencing]. */
internal class ModelEngine(private val checksFencing: Boolean, start: Instant) {
    private var highestNumber = FencingNumber(0)

    /** The states of the engine since its start, oldest first. */
    val spans = mutableListOf(EngineSpan(start, INITIAL))

    /** The current state. */
    val loaded: EngineState get() = spans.last().loaded

    /** Executes [order] and returns true, or returns false when fencing is checked and [number] is old. */
    fun execute(order: Order, number: FencingNumber, now: Instant): Boolean {
        if (checksFencing && number < highestNumber) return false
        highestNumber = maxOf(highestNumber, number)
        spans += EngineSpan(now, loaded.after(order))
        return true
    }

    private companion object {
        val INITIAL = EngineState(setOf(ModelVersion("model-0")), setOf(AdapterName("adapter-0")), EngineRole("role-0"))
    }
}

/** The stored fencing numbers of the engine's endpoint. */
internal class ModelFencingStore {
    /** The numbers acquired so far, in ascending order, with their holders. */
    val acquired = linkedMapOf<FencingNumber, String>()

    /** The highest number acquired, or null before the first. */
    val current: FencingNumber? get() = acquired.keys.lastOrNull()

    /** Acquires the next number for [holder]; the holder of the highest number gets the same one again. */
    fun acquire(holder: String): FencingNumber {
        val last = current
        if (last != null && acquired[last] == holder) return last
        return FencingNumber((last?.value ?: 0) + 1).also { acquired[it] = holder }
    }
}
