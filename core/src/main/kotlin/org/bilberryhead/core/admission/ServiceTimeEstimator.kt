package org.bilberryhead.core.admission

import kotlin.math.max

/** Estimates the service time of one endpoint. Not thread-safe. */
class ServiceTimeEstimator {
    private val p90 = QuantileEstimator(P90_QUANTILE)

    /** Smoothed service time in milliseconds; 0 before the first response. */
    var meanMillis: Double = 0.0
        private set

    /** 90th percentile of the service time in milliseconds, at least the smoothed service time. */
    val p90Millis: Double get() = max(p90.estimate, meanMillis)

    /** Adds the service time of an attempt that got a response, in milliseconds. */
    fun record(millis: Double) {
        meanMillis = if (meanMillis == 0.0) millis else meanMillis + SMOOTHING * (millis - meanMillis)
        p90.record(millis)
    }

    /** Adds the service time of an attempt of which only the lower bound [millis] is known. */
    fun recordAtLeast(millis: Double) {
        if (millis > meanMillis) record(millis)
    }

    /** Lowers the estimates, so that an endpoint that was slow gets attempts again although no new samples arrived. */
    fun relax() {
        meanMillis *= RELAXATION
        p90.scale(RELAXATION)
    }

    private companion object {
        /** Factor by which the estimates are lowered when an idle endpoint refuses an attempt. */
        const val RELAXATION = 0.9

        /** Weight of the newest service time in the smoothed one. */
        const val SMOOTHING = 0.1

        const val P90_QUANTILE = 0.9
    }
}
