package org.bilberryhead.core.retry

import org.bilberryhead.core.routing.StageTimes
import org.bilberryhead.core.tables.Objective
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Decides how long an attempt may stay unanswered before a second one starts. */
object HedgePolicy {
    /** Part of the typical time below which a fresh attempt must be predicted. */
    private const val WORTHWHILE_SHARE = 0.75

    /** Share of the remaining time that applies while nothing is learnt of a pool. */
    private const val UNLEARNT_SHARE = 0.3

    /** Share of the remaining time after which an attempt without a hedge is looked at again. */
    private const val RECHECK_SHARE = 0.1

    private val SHORTEST_RECHECK = 20.milliseconds

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

    /**
     * Whether a second attempt that is [predicted] to take so long is a help, or only adds to a load that is high. When
     * the first one is unanswered after [elapsed], very late, all that counts is that the second one can end in the
     * [remaining] time.
     */
    fun isWorthwhile(predicted: Duration?, times: StageTimes?, elapsed: Duration, remaining: Duration): Boolean = when {
        predicted == null || times == null -> true
        predicted <= times.typical * WORTHWHILE_SHARE -> true
        else -> elapsed >= times.veryLate && predicted <= remaining
    }

    /** Returns after what time to look again at an attempt that was not hedged, when [remaining] time is left. */
    fun recheckDelay(times: StageTimes?, remaining: Duration): Duration =
        maxOf(times?.typical ?: Duration.ZERO, remaining * RECHECK_SHARE, SHORTEST_RECHECK)
}
