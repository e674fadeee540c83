package org.bilberryhead.core.serving

import org.HdrHistogram.IntCountsHistogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The distribution of the response times of the last minute. */
class ResponseTimeWindow {
    private val slices = List(SLICE_COUNT) { newHistogram() }
    private val total = newHistogram()
    private var currentSlice = 0L

    /** Adds a response time that became known at [now]. */
    fun record(time: Duration, now: Instant) {
        advance(now)
        val value = (time / UNIT).toLong().coerceIn(1, HIGHEST_VALUE)
        slices[indexOf(currentSlice)].recordValue(value)
        total.recordValue(value)
    }

    /** Returns the time that [percentile] percent of the responses did not exceed; null with too few of them. */
    fun percentile(percentile: Double, now: Instant): Duration? {
        advance(now)
        if (total.totalCount < MINIMUM_SAMPLES) return null
        return UNIT * total.getValueAtPercentile(percentile).toDouble()
    }

    private fun advance(now: Instant) {
        val slice = now.toEpochMilliseconds() / SLICE.inWholeMilliseconds
        val expiredCount = (slice - currentSlice).coerceAtMost(SLICE_COUNT.toLong())
        if (expiredCount <= 0) return
        currentSlice = slice
        for (age in 0 until expiredCount) slices[indexOf(slice - age)].reset()
        total.reset()
        slices.forEach(total::add)
    }

    private fun indexOf(slice: Long): Int = slice.mod(SLICE_COUNT)

    companion object {
        /** One of this many samples exceeds the 95th percentile. */
        const val MINIMUM_SAMPLES = 20

        private val SLICE = 10.seconds
        private const val SLICE_COUNT = 6
        private val UNIT = 100.microseconds

        /** Longer times are recorded as one minute. */
        private val HIGHEST_VALUE = (1.minutes / UNIT).toLong()

        /** An error of 1 % in the delay of a hedge does not matter; more digits take more memory. */
        private const val SIGNIFICANT_DIGITS = 2

        private fun newHistogram() = IntCountsHistogram(1, HIGHEST_VALUE, SIGNIFICANT_DIGITS)
    }
}
