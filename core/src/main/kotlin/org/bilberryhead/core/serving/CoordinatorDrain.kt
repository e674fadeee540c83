package org.bilberryhead.core.serving

import kotlin.time.Instant

/** What a coordinator that drains does with a piece of another entry. */
enum class DrainingPieceAction {
    /** The piece goes to the next coordinator, as it has not been called. */
    HAND_OVER,

    /** The outcome of its call is awaited. */
    AWAIT,

    /** The piece ends as one whose call has failed, as nobody would hear of the outcome. */
    REPORT_FAILED,
}

/**
 * Decides what the coordinator of a pool still does for other entries while it drains, so that the end of the drain
 * leaves none of them without an outcome.
 *
 * All pieces without a call are handed over at once: the next coordinator gets the new ones anyway, and two that call
 * the same endpoints take each other's memory for results.
 *
 * @param endsAt when the process ends what is unfinished
 */
class CoordinatorDrain(private val endsAt: Instant) {
    /** Returns what is done at [now] with a piece; [isCalled] says whether its call has begun. */
    fun actionFor(isCalled: Boolean, now: Instant): DrainingPieceAction = when {
        !isCalled -> DrainingPieceAction.HAND_OVER
        now < endsAt -> DrainingPieceAction.AWAIT
        else -> DrainingPieceAction.REPORT_FAILED
    }
}
