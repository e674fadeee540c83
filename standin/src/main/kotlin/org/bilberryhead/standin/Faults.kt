package org.bilberryhead.standin

import kotlinx.serialization.Serializable

/** What is wrong with one platform service. */
@Serializable
enum class PlatformFaultKind {
    /** The service works. */
    NONE,

    /** Calls are refused at once. */
    DOWN,

    /** Calls are answered late. */
    SLOW,

    /** Calls take effect and their answers are lost. */
    LOSE_ANSWERS,

    /** Calls neither take effect nor are answered. */
    SILENT,
}

/** The services of the platform. */
@Serializable
enum class PlatformService { TABLES, OBJECTS, VMS }

/**
 * A fault to set on one service of the platform.
 *
 * @property delayMillis how late a slow service answers, in milliseconds
 * @property calls number of calls that are hit before the service works again; 0 for all
 * @property writesOnly whether only calls that write are hit
 */
@Serializable
data class PlatformFault(
    val service: PlatformService,
    val kind: PlatformFaultKind,
    val delayMillis: Long = 1_000,
    val calls: Int = 0,
    val writesOnly: Boolean = false,
)

/** What is wrong with an endpoint. */
@Serializable
enum class EndpointFaultKind {
    /** The endpoint works. */
    NONE,

    /** Calls take [EndpointFault.factor] times as long. */
    STRAGGLE,

    /** Calls take [EndpointFault.delayMillis] longer. */
    BURST,

    /** Every second call takes [EndpointFault.delayMillis] longer, so that answers arrive out of order. */
    REORDER,

    /** Calls fail at once without taking effect. */
    FAIL_BEFORE_EFFECT,

    /** Calls take effect and then fail. */
    FAIL_AFTER_EFFECT,

    /** Calls are refused with the statement that they did not run. */
    REFUSE,

    /** Calls take effect and are never answered. */
    SILENT,

    /** Calls neither take effect nor are answered. */
    SILENT_BEFORE_EFFECT,

    /** Calls take effect at once and are answered [EndpointFault.delayMillis] later. */
    LATE_ANSWER,

    /** The answer is cut off in the middle. */
    CUT,
}

/**
 * A fault to set on one endpoint.
 *
 * @property factor how many times longer a straggler takes
 * @property delayMillis extra time, in milliseconds
 * @property calls number of calls that are hit before the endpoint works again; 0 for all
 */
@Serializable
data class EndpointFault(
    val kind: EndpointFaultKind,
    val factor: Double = 10.0,
    val delayMillis: Long = 1_000,
    val calls: Int = 0,
)

/** What is wrong with an engine that takes orders. */
@Serializable
enum class EngineFaultKind {
    /** The engine works. */
    NONE,

    /** Orders fail at once without taking effect. */
    FAIL_BEFORE_EFFECT,

    /** Orders take effect and then fail. */
    FAIL_AFTER_EFFECT,

    /** Orders take effect only once they are released, whatever becomes of the connection. */
    HOLD,
}

/**
 * A fault to set on an engine.
 *
 * @property calls number of orders that are hit before the engine works again; 0 for all
 */
@Serializable
data class EngineFault(val kind: EngineFaultKind, val calls: Int = 0)

/** Holds a fault and counts the calls that it hits. Safe for use by several threads. */
class FaultSwitch<T : Any>(private val none: T) {
    private var current = none
    private var remaining = 0
    private var hits = 0L

    /** Sets [fault] for the next [calls] calls, or for all when 0. */
    @Synchronized
    fun set(fault: T, calls: Int) {
        current = fault
        remaining = calls
        hits = 0
    }

    /** Returns the fault that hits the next call, if [applies] to it. */
    @Synchronized
    fun next(applies: (T) -> Boolean = { true }): FaultHit<T> {
        if (!applies(current)) return FaultHit(none, 0)
        val hit = FaultHit(current, hits++)
        if (remaining > 0 && --remaining == 0) current = none
        return hit
    }
}

/**
 * A fault as it hits one call.
 *
 * @property number number of calls that the fault has hit before
 */
class FaultHit<T : Any>(val fault: T, val number: Long)
