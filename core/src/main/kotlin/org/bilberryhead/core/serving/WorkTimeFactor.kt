package org.bilberryhead.core.serving

import kotlin.math.exp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Averages the work time factors that an endpoint reports. A single report is a noisy sample, because the speed of a
 * shared machine changes several times per second. Reports lose their weight with age.
 */
class WorkTimeFactor {
    private var average = 1.0
    private var updatedAt: Instant? = null

    /** Whether the endpoint has reported a factor. */
    val isReported: Boolean get() = updatedAt != null

    /** Records the factor of [report]; a report without one changes nothing. */
    fun record(report: LoadReport, now: Instant) {
        val sample = report.workTimeFactor ?: return
        average = sample + (average - sample) * (1 - SAMPLE_WEIGHT) * remainingWeight(now)
        updatedAt = now
    }

    /** The average of the last reports, which moves towards [usual] while no report arrives. */
    fun current(now: Instant, usual: Double = 1.0): Double =
        if (isReported) usual + (average - usual) * remainingWeight(now) else usual

    /** Weight of the average, compared with the time of the last report. */
    private fun remainingWeight(now: Instant): Double {
        val age = now - (updatedAt ?: return 1.0)
        return exp(-age.toDouble(DurationUnit.SECONDS) / DECAY_TIME.toDouble(DurationUnit.SECONDS)).coerceAtMost(1.0)
    }

    private companion object {
        const val SAMPLE_WEIGHT = 0.5

        /** The speed of a shared machine changes several times per second, so that older reports say little. */
        val DECAY_TIME = 600.milliseconds
    }
}
