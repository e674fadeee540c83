package org.bilberryhead.core.retry

import org.bilberryhead.core.routing.StageTimes
import org.bilberryhead.core.tables.Objective
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Decides when a hedge, a second attempt for an unanswered one, is sent. */
object HedgePolicy {
    /** Share of the mean time below which a hedge must be predicted to be worthwhile. */
    private const val WORTHWHILE_SHARE = 0.75

    /** Delay of a hedge as a share of the remaining time, while the times of a pool are not known. */
    private const val DEFAULT_DELAY_SHARE = 0.3

    /** Share of the remaining time after which an attempt without a hedge is checked again. */
    private const val RECHECK_SHARE = 0.1

    private val MINIMUM_RECHECK = 20.milliseconds

    /**
     * Returns the delay of a hedge: the 95th percentile of the pool's [times] for the objective attainment, the 99th
     * for the objective cost, or a share of the [remaining] time while the times are not known.
     */
    fun delay(times: StageTimes?, objective: Objective, remaining: Duration): Duration {
        if (times == null) return remaining * DEFAULT_DELAY_SHARE
        return when (objective) {
            Objective.ATTAINMENT -> times.p95
            Objective.COST -> times.p99
        }
    }

    /**
     * Whether a hedge with the [predicted] time is likely to help, rather than only add to a high load. When the first
     * attempt has taken longer than the 99th percentile after [elapsed], the hedge only has to end within the
     * [remaining] time.
     */
    fun isWorthwhile(predicted: Duration?, times: StageTimes?, elapsed: Duration, remaining: Duration): Boolean = when {
        predicted == null || times == null -> true
        predicted <= times.mean * WORTHWHILE_SHARE -> true
        else -> elapsed >= times.p99 && predicted <= remaining
    }

    /** Returns the time after which an attempt that was not hedged is checked again, when [remaining] time is left. */
    fun recheckDelay(times: StageTimes?, remaining: Duration): Duration =
        maxOf(times?.mean ?: Duration.ZERO, remaining * RECHECK_SHARE, MINIMUM_RECHECK)
}
