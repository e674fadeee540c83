package org.bilberryhead.core.retry

import org.bilberryhead.core.routing.StageTimes
import org.bilberryhead.core.tables.Objective
import kotlin.time.Duration

/** Decides how long an attempt may stay unanswered before a second one starts. */
object HedgePolicy {
    /** Share of the remaining time that applies while nothing is learnt of a pool. */
    private const val UNLEARNT_SHARE = 0.3

    /**
     * Returns the delay of a hedge: late by the pool's [times] where attainment counts, very late where cost counts,
     * or a share of the [remaining] time while nothing is learnt.
     */
    fun delay(times: StageTimes?, objective: Objective, remaining: Duration): Duration {
        if (times == null) return remaining * UNLEARNT_SHARE
        return when (objective) {
            Objective.ATTAINMENT -> times.late
            Objective.COST -> times.veryLate
        }
    }
}
