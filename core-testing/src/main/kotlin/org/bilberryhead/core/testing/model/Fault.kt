package org.bilberryhead.core.testing.model

/** Faults that a session can inject. Each affects a participant of the step at which it is injected. */
internal enum class Fault {
    KILL_SIDECAR,
    FREEZE_SIDECAR,
    KILL_ENTRY,
    FREEZE_ENTRY,
    CUT_CONNECTION,
    SILENCE_TO_SIDECAR,
    SILENCE_TO_ENTRY,
    SILENCE_BOTH_WAYS,

    /** The entry receives no further messages, and those it sent arrive long after it has closed the connection. */
    STALE_CONNECTION,
    DELAY_BOTH_WAYS,
    REORDER_MESSAGES,
    DUPLICATE_MESSAGES,
    LEAVE_SIDECAR,
    ENDPOINT_STRAGGLES,
    ENDPOINT_REFUSES,
    ENDPOINT_FAILS_BEFORE_EFFECT,
    ENDPOINT_FAILS_AFTER_EFFECT,
    ENDPOINT_SILENT,
}

/** Externally visible steps of the attempt and shutdown state charts, at which faults can be injected. */
internal enum class Step {
    DISPATCH_SENT,
    DISPATCH_ARRIVED,
    RUN_STARTED,
    EFFECT_DONE,
    FRAME_SENT,
    FRAME_ARRIVED,
    LAST_FRAME_SENT,
    LAST_FRAME_ARRIVED,
    QUERY_SENT,
    QUERY_ARRIVED,
    RUNNING_SENT,
    RUNNING_ARRIVED,
    REFUSED_SENT,
    REFUSED_ARRIVED,
    MOVE_SENT,
    MOVE_ARRIVED,
    CANCEL_SENT,
    CANCEL_ARRIVED,
    FAILED_SENT,
    FAILED_ARRIVED,
    FORGOTTEN_SENT,
    FORGOTTEN_ARRIVED,
    CONNECTION_LOST,
    CONNECTION_RESTORED,
    LEAVING_SENT,
    LEAVING_ARRIVED,
    SIDECAR_DRAINED,
}

/** A planned injection of [fault], made when the session reaches [step] for the [occurrence]th time, counted from 1. */
internal data class Injection(val fault: Fault, val step: Step, val occurrence: Int = 1) {
    override fun toString(): String = "$fault at $step#$occurrence"
}

/** The processes and the connection that take part in a step; null for those that do not. */
internal data class Participants(val entry: ModelEntry?, val sidecar: ModelSidecar, val connection: ModelConnection?)
