package org.bilberryhead.core.testing.model

/** What can go wrong. The part that it strikes is the one at which the session has arrived. */
internal enum class Fault {
    KILL_SIDECAR,
    FREEZE_SIDECAR,
    KILL_ENTRY,
    FREEZE_ENTRY,
    CUT_CONNECTION,
    SILENCE_TO_SIDECAR,
    SILENCE_TO_ENTRY,
    SILENCE_BOTH_WAYS,

    /** The entry hears nothing more, and what it sent arrives long after it has given the connection up. */
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

/** Where a session has arrived: the steps of the attempt chart and of the shutdown chart, seen from outside. */
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

/** [fault] strikes when the session arrives at [step] for the [occurrence]th time, counted from 1. */
internal data class Injection(val fault: Fault, val step: Step, val occurrence: Int = 1) {
    override fun toString(): String = "$fault at $step#$occurrence"
}

/** The parts at which a session has arrived. */
internal data class Place(val entry: ModelEntry?, val sidecar: ModelSidecar, val connection: ModelConnection?)
