package org.bilberryhead.core.testing.order

/** Points of a session of engine orders at which a fault can be injected. TAKE_* belong to acquiring a number. */
internal enum class OrderPoint {
    TAKE_SENT,
    TAKE_EFFECT,
    TAKE_ANSWERED,
    ENGINE_READ_SENT,
    ENGINE_READ_ANSWERED,
    NUMBER_READ_SENT,
    NUMBER_READ_EFFECT,
    NUMBER_READ_ANSWERED,
    ORDER_DUE,
    ORDER_CHECKED,
    ORDER_ARRIVED,
    ORDER_EFFECT,
    ORDER_ANSWERED,
    TIMER_STARTED,
    TIMER_DUE,
    SETTLED,
}

/** Faults that a session of engine orders can inject. */
internal enum class OrderFault {
    /** The holder is paused and resumes; no other holder acquires a number. */
    PAUSE,

    /** A successor with a newer row acquires a number while the holder keeps running with its old row. */
    TAKEOVER,

    /** The holder is paused, a successor with a newer row acquires a number, and the holder resumes. */
    PAUSE_AND_TAKEOVER,

    /** The holder is killed, and a successor with a newer row starts. */
    KILL_AND_REPLACE,

    /** The table row of the holder's endpoint changes, and with it the desired engine state. */
    ROW_CHANGES,

    /** Store calls are refused. */
    STORE_DOWN,

    /** Store calls take longer than the validity of a number. */
    STORE_SLOW,

    /** Store calls take effect, but their responses are lost. */
    STORE_LOSES_ANSWERS,

    /** The engine fails each call before it takes effect. */
    ENGINE_FAILS,

    /** The engine executes orders, but its responses are lost. */
    ENGINE_LOSES_ANSWERS,

    /** Orders reach the engine only after their sender's timeout. */
    ORDERS_LATE,
}

/** A planned injection of [fault], made when [point] is reached for the [occurrence]th time, counted from 1. */
internal data class OrderInjection(val fault: OrderFault, val point: OrderPoint, val occurrence: Int = 1) {
    override fun toString(): String = "$fault at $point #$occurrence"
}

/** The engine's fencing, the seed and the faults of one session. */
internal data class OrderCell(val checksFencing: Boolean, val seed: Int, val injections: List<OrderInjection>) {
    override fun toString(): String {
        val handling = if (checksFencing) "checking" else "ignoring"
        return "engine $handling numbers, seed $seed: ${injections.joinToString(" then ").ifEmpty { "no fault" }}"
    }
}
