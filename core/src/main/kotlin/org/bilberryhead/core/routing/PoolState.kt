package org.bilberryhead.core.routing

import org.bilberryhead.core.admission.QuantileEstimator
import org.bilberryhead.core.common.AtomicDouble
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * What one process has learnt of a pool. Safe for use by several threads, without locks. Times are milliseconds since
 * the epoch.
 */
internal class PoolState(private val startedAt: Long) {
    private val late = QuantileEstimator(LATE_QUANTILE)
    private val veryLate = QuantileEstimator(VERY_LATE_QUANTILE)
    private val typicalMillis = AtomicDouble()
    private val usualServiceMillis = AtomicDouble()
    private val ejected = AtomicInteger()

    /** Number of endpoints in the pool. */
    @Volatile
    var size: Int = 0

    /** Attempts that one endpoint works on at once, by the pools table. */
    @Volatile
    var concurrency: Int = 1

    /** Smoothed service time over all endpoints in milliseconds, 0 when nothing is known. */
    val serviceMillis: Double get() = usualServiceMillis.get()

    /** How long attempts take, or null before the first answer. */
    val times: StageTimes?
        get() = typicalMillis.get().takeIf { it > 0.0 }?.let {
            StageTimes(it.milliseconds, late.estimate.milliseconds, veryLate.estimate.milliseconds)
        }

    /** Whether some endpoint of the pool is ejected. */
    val hasEjected: Boolean get() = ejected.get() > 0

    /** Whether this process has only just met the pool, so that none of its endpoints is newer than the others. */
    fun isStarting(nowMillis: Long): Boolean = nowMillis - startedAt < STARTING_MILLIS

    /** Takes how an attempt ended after [elapsed]. */
    fun recordEnd(result: AttemptResult, elapsed: Duration) {
        val millis = elapsed.toDouble(DurationUnit.MILLISECONDS)
        when (result) {
            AttemptResult.ANSWERED -> recordAnswer(millis)
            AttemptResult.ABANDONED -> recordAbandoned(millis)
            AttemptResult.FAILED, AttemptResult.REFUSED -> Unit
        }
    }

    /** Takes a service time that a sidecar reported. */
    fun recordService(millis: Double) {
        if (millis > 0.0) usualServiceMillis.update { smooth(it, millis) }
    }

    /** Counts an ejection unless [largestShare] of the pool is ejected. */
    fun tryCountEjection(largestShare: Double): Boolean {
        val limit = if (size <= 1) 0 else max(1, (size * largestShare).toInt())
        while (true) {
            val before = ejected.get()
            if (before >= limit) return false
            if (ejected.compareAndSet(before, before + 1)) return true
        }
    }

    /** Counts the return of an ejected endpoint. */
    fun countReturn() {
        ejected.updateAndGet { max(0, it - 1) }
    }

    private fun recordAnswer(millis: Double) {
        typicalMillis.update { smooth(it, millis) }
        late.record(millis)
        veryLate.record(millis)
    }

    private fun recordAbandoned(millis: Double) {
        late.recordAtLeast(millis)
        veryLate.recordAtLeast(millis)
    }

    private fun smooth(before: Double, newest: Double) =
        if (before == 0.0) newest else before + SMOOTHING * (newest - before)

    private companion object {
        const val LATE_QUANTILE = 0.95
        const val VERY_LATE_QUANTILE = 0.99

        /** Weight of the newest sample in a smoothed time. */
        const val SMOOTHING = 0.05

        /** Length of the start phase in milliseconds. */
        const val STARTING_MILLIS = 5_000
    }
}
