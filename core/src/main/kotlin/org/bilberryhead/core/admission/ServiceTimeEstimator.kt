package org.bilberryhead.core.admission

import kotlin.math.max

/** Learns how long one endpoint works on an attempt. Not safe for use by several threads. */
class ServiceTimeEstimator {
    private val late = QuantileEstimator(LATE_QUANTILE)

    /** Smoothed service time in milliseconds; 0 before the first answer. */
    var meanMillis: Double = 0.0
        private set

    /** Service time in milliseconds that nine in ten attempts stay below. */
    val lateMillis: Double get() = max(late.estimate, meanMillis)

    /** Adds the service time of an attempt that was answered, in milliseconds. */
    fun record(millis: Double) {
        meanMillis = if (meanMillis == 0.0) millis else meanMillis + SMOOTHING * (millis - meanMillis)
        late.record(millis)
    }

    /** Adds the service time of an attempt of which only the lower bound [millis] is known. */
    fun recordAtLeast(millis: Double) {
        if (millis > meanMillis) record(millis)
    }

    /** Lowers the estimates, so that an endpoint that was slow once is tried again although it has no new samples. */
    fun relax() {
        meanMillis *= RELAXATION
        late.scale(RELAXATION)
    }

    private companion object {
        /** Factor on the estimates by which one refusal of an idle endpoint lowers them. */
        const val RELAXATION = 0.9

        /** Weight of the newest service time in the smoothed one. */
        const val SMOOTHING = 0.1

        const val LATE_QUANTILE = 0.9
    }
}
