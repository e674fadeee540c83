package org.bilberryhead.core.admission

import org.bilberryhead.core.common.AtomicDouble

/**
 * Estimates a quantile of a stream of positive samples in constant memory. Each sample moves the estimate up or down by
 * a step that is proportional to the estimate. Thread-safe.
 *
 * @param quantile share of the samples that are below the estimate, between 0 and 1
 */
class QuantileEstimator(private val quantile: Double) {
    private val current = AtomicDouble(0.0)

    /** The estimate, in the unit of the samples; 0 before the first sample. */
    val estimate: Double get() = current.get()

    /** Adds a sample. */
    fun record(sample: Double) = current.update { previous ->
        when {
            previous == 0.0 -> sample
            sample > previous -> previous * (1 + STEP * quantile)
            else -> previous * (1 - STEP * (1 - quantile))
        }
    }

    /** Adds a sample of which only a lower bound is known. */
    fun recordAtLeast(bound: Double) {
        if (estimate > 0.0 && bound > estimate) record(bound)
    }

    /** Multiplies the estimate by [factor]. */
    fun scale(factor: Double) = current.update { it * factor }

    private companion object {
        /** Largest relative change of the estimate by one sample. */
        const val STEP = 0.05
    }
}
