package org.bilberryhead.standin

import kotlinx.serialization.Serializable

/** Kinds of faults that can be injected into a platform service. */
@Serializable
enum class PlatformFaultKind {
    /** No fault. */
    NONE,

    /** Every call fails immediately with status 503. */
    DOWN,

    /** Responses are delayed by [PlatformFault.delayMillis]. */
    SLOW,

    /** Calls take effect, but no response is sent. */
    LOSE_ANSWERS,

    /** Calls take no effect and no response is sent. */
    SILENT,
}

/** Platform services that faults can be injected into. */
@Serializable
enum class PlatformService { TABLES, OBJECTS, VMS }

/**
 * A fault to inject into a platform service.
 *
 * @property delayMillis delay of each response of a slow service, in milliseconds
 * @property calls number of calls that the fault applies to before it is cleared; 0 for no limit
 * @property writesOnly whether the fault applies only to calls that write
 */
@Serializable
data class PlatformFault(
    val service: PlatformService,
    val kind: PlatformFaultKind,
    val delayMillis: Long = 1_000,
    val calls: Int = 0,
    val writesOnly: Boolean = false,
)

/** Kinds of faults that can be injected into an endpoint. */
@Serializable
enum class EndpointFaultKind {
    /** No fault. */
    NONE,

    /** Calls take [EndpointFault.factor] times as long. */
    STRAGGLE,

    /** Calls take [EndpointFault.delayMillis] longer. */
    BURST,

    /** Every second call takes [EndpointFault.delayMillis] longer, so that responses arrive out of order. */
    REORDER,

    /** Calls fail immediately without taking effect. */
    FAIL_BEFORE_EFFECT,

    /** Calls take effect and then fail. */
    FAIL_AFTER_EFFECT,

    /** Calls are refused with a response that states that they were not run. */
    REFUSE,

    /** Calls take effect, but no response is sent. */
    SILENT,

    /** Calls take no effect and no response is sent. */
    SILENT_BEFORE_EFFECT,

    /** Calls take effect at the usual time; the response is sent [EndpointFault.delayMillis] later. */
    LATE_ANSWER,

    /** The response is truncated after half of its body. */
    CUT,
}

/**
 * A fault to inject into an endpoint.
 *
 * @property factor factor by which the service time of a straggler is multiplied
 * @property delayMillis extra time, in milliseconds
 * @property calls number of calls that the fault applies to before it is cleared; 0 for no limit
 */
@Serializable
data class EndpointFault(
    val kind: EndpointFaultKind,
    val factor: Double = 10.0,
    val delayMillis: Long = 1_000,
    val calls: Int = 0,
)

/** Kinds of faults that can be injected into an engine that receives orders. */
@Serializable
enum class EngineFaultKind {
    /** No fault. */
    NONE,

    /** Orders fail immediately without taking effect. */
    FAIL_BEFORE_EFFECT,

    /** Orders take effect and then fail. */
    FAIL_AFTER_EFFECT,

    /** Orders take effect only once they are released, even if the connection was closed before. */
    HOLD,
}

/**
 * A fault to inject into an engine.
 *
 * @property calls number of orders that the fault applies to before it is cleared; 0 for no limit
 */
@Serializable
data class EngineFault(val kind: EngineFaultKind, val calls: Int = 0)

/** Holds the current fault and counts the calls that it applied to. Safe for use by several threads. */
class FaultSwitch<T : Any>(private val noFault: T) {
    private var current = noFault
    private var remainingCalls = 0
    private var appliedCalls = 0L

    /** Sets [fault] for the next [calls] calls, or until the next call of this function if [calls] is 0. */
    @Synchronized
    fun set(fault: T, calls: Int) {
        current = fault
        remainingCalls = calls
        appliedCalls = 0
    }

    /** Returns the fault for the next call, or no fault if [applies] returns false for the current one. */
    @Synchronized
    fun next(applies: (T) -> Boolean = { true }): AppliedFault<T> {
        if (!applies(current)) return AppliedFault(noFault, 0)
        val applied = AppliedFault(current, appliedCalls++)
        if (remainingCalls > 0 && --remainingCalls == 0) current = noFault
        return applied
    }
}

/**
 * A fault applied to one call.
 *
 * @property number number of earlier calls that the fault applied to
 */
class AppliedFault<T : Any>(val fault: T, val number: Long)
