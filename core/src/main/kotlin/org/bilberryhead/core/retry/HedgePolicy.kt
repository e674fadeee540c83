package org.bilberryhead.core.retry

import org.bilberryhead.core.routing.StageTimes
import org.bilberryhead.core.tables.Objective
import kotlin.time.Duration

/** Decides how long an attempt may stay unanswered before a second one starts. */
object HedgePolicy {
    /** Part of the typical time below which a fresh attempt must be predicted. */
    private const val WORTHWHILE_SHARE = 0.75

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

    /** Whether an attempt that is [predicted] to take so long is a help, or only adds to a load that is high. */
    fun isWorthwhile(predicted: Duration?, times: StageTimes?): Boolean =
        predicted == null || times == null || predicted <= times.typical * WORTHWHILE_SHARE
}
