package org.bilberryhead.core.testing.order

import org.bilberryhead.core.common.FencingNumber
import org.bilberryhead.core.order.DesiredEngineState
import org.bilberryhead.core.order.EngineState
import org.bilberryhead.core.order.Order
import kotlin.time.Instant

/**
 * An event of a session that [OrderInvariantChecker] checks.
 *
 * @property holder name of the [ModelHolder] that caused the event
 */
internal sealed interface OrderRecord {
    val at: Instant
    val holder: String

    /** A read of the stored fencing number that started at [startedAt] returned [number]. */
    data class NumberRead(
        override val at: Instant,
        override val holder: String,
        val startedAt: Instant,
        val number: FencingNumber?,
    ) : OrderRecord

    /** The engine reported what it has loaded. */
    data class EngineRead(override val at: Instant, override val holder: String) : OrderRecord

    /** The holder's last check before it sends [order] passed. */
    data class OrderChecked(
        override val at: Instant,
        override val holder: String,
        val number: FencingNumber,
        val order: Order,
    ) : OrderRecord

    /** The engine reported to the holder that an order was executed. */
    data class OrderDone(override val at: Instant, override val holder: String) : OrderRecord

    /** An order took effect. [highestNumber] is the highest number acquired by then. */
    data class Effect(
        override val at: Instant,
        override val holder: String,
        val number: FencingNumber,
        val highestNumber: FencingNumber,
    ) : OrderRecord
}

/** The state of the engine from [since] on. */
internal data class EngineSpan(val since: Instant, val loaded: EngineState)

/** The desired state of the engine from [since] on. */
internal data class DesiredStateSpan(val since: Instant, val desired: DesiredEngineState)
