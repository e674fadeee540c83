package org.bilberryhead.core.testing.order

import org.bilberryhead.core.common.FencingNumber
import org.bilberryhead.core.order.DesiredEngineState
import org.bilberryhead.core.order.EngineState
import org.bilberryhead.core.order.Order
import kotlin.time.Instant

/** What happened in a session, as the judge needs it. */
internal sealed interface OrderRecord {
    val at: Instant
    val holder: String

    /** A read of the stored number that began at [begun] was answered with [number]. */
    data class NumberShown(
        override val at: Instant,
        override val holder: String,
        val begun: Instant,
        val number: FencingNumber?,
    ) : OrderRecord

    /** The engine told what it has loaded. */
    data class EngineShown(override val at: Instant, override val holder: String) : OrderRecord

    /** The holder's last check passed, and it is about to send. */
    data class OrderChecked(
        override val at: Instant,
        override val holder: String,
        val number: FencingNumber,
        val order: Order,
    ) : OrderRecord

    /** The engine reported to the holder that an order is done. */
    data class OrderDone(override val at: Instant, override val holder: String) : OrderRecord

    /** An order took effect. [newest] is the highest number that was taken by then. */
    data class Effect(
        override val at: Instant,
        override val holder: String,
        val number: FencingNumber,
        val newest: FencingNumber,
    ) : OrderRecord
}

/** What an engine had loaded from [since] on. */
internal data class EngineSpan(val since: Instant, val loaded: EngineState)

/** What was wanted of an engine from [since] on. */
internal data class Demand(val since: Instant, val wanted: DesiredEngineState)
