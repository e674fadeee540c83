package org.bilberryhead.core.testing.order

/** Points of a session of engine orders at which a fault can strike. */
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

/** What can go wrong in a session of engine orders. */
internal enum class OrderFault {
    /** The holder is paused and wakes up; nobody else takes a number. */
    PAUSE,

    /** A successor with a newer row takes a number while the holder runs on with its old row. */
    TAKEOVER,

    /** The holder is paused, a successor with a newer row takes a number, and the holder wakes up. */
    PAUSE_AND_TAKEOVER,

    /** The holder is killed, and a successor with a newer row starts. */
    KILL_AND_REPLACE,

    /** The row changes. */
    ROW_CHANGES,

    /** Store calls are refused. */
    STORE_DOWN,

    /** Store calls take longer than the validity of a number. */
    STORE_SLOW,

    /** Store calls have their effect and their answers are lost. */
    STORE_LOSES_ANSWERS,

    /** The engine fails each call before its effect. */
    ENGINE_FAILS,

    /** The engine carries orders out, and its answers are lost. */
    ENGINE_LOSES_ANSWERS,

    /** Orders reach the engine only after their sender has given them up. */
    ORDERS_LATE,
}

/** [fault] strikes when [point] is reached for the [occurrence]th time, from 1. */
internal data class OrderInjection(val fault: OrderFault, val point: OrderPoint, val occurrence: Int = 1) {
    override fun toString(): String = "$fault at $point #$occurrence"
}

/** The arguments of a session. */
internal data class OrderCell(val checks: Boolean, val seed: Int, val injections: List<OrderInjection>) {
    override fun toString(): String {
        val engine = if (checks) "checking" else "ignoring"
        return "$engine engine, seed $seed: ${injections.joinToString(" then ").ifEmpty { "no fault" }}"
    }
}
