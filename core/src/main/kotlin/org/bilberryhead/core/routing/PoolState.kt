package org.bilberryhead.core.routing

import org.bilberryhead.core.admission.QuantileEstimator
import org.bilberryhead.core.common.AtomicDouble
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * The state that one process keeps of one pool: times, size and number of ejected endpoints. Thread-safe without locks.
 * Times are milliseconds since the epoch.
 */
internal class PoolState(private val startedAt: Long) {
    private val p95 = QuantileEstimator(P95_QUANTILE)
    private val p99 = QuantileEstimator(P99_QUANTILE)
    private val meanMillis = AtomicDouble()
    private val smoothedServiceMillis = AtomicDouble()
    private val ejected = AtomicInteger()

    /** Number of endpoints in the pool. */
    @Volatile
    var size: Int = 0

    /** Attempts that one endpoint runs concurrently, according to the pools table. */
    @Volatile
    var concurrency: Int = 1

    /** Smoothed service time over all endpoints in milliseconds, 0 when nothing is known. */
    val serviceMillis: Double get() = smoothedServiceMillis.get()

    /** How long attempts take, or null before the first response. */
    val times: StageTimes?
        get() = meanMillis.get().takeIf { it > 0.0 }?.let {
            StageTimes(it.milliseconds, p95.estimate.milliseconds, p99.estimate.milliseconds)
        }

    /** Whether some endpoint of the pool is ejected. */
    val hasEjected: Boolean get() = ejected.get() > 0

    /** Whether this process has used the pool only for a short time, so that no endpoint counts as newly added. */
    fun isStarting(nowMillis: Long): Boolean = nowMillis - startedAt < STARTING_MILLIS

    /** Records the end of an attempt after [elapsed]. */
    fun recordEnd(result: AttemptResult, elapsed: Duration) {
        val millis = elapsed.toDouble(DurationUnit.MILLISECONDS)
        when (result) {
            AttemptResult.ANSWERED -> recordAnswer(millis)
            AttemptResult.ABANDONED -> recordAbandoned(millis)
            AttemptResult.FAILED, AttemptResult.REFUSED -> Unit
        }
    }

    /** Records a service time that a sidecar reported, in milliseconds. */
    fun recordService(millis: Double) {
        if (millis > 0.0) smoothedServiceMillis.update { smooth(it, millis) }
    }

    /** Counts an ejection unless [maximumEjectedShare] of the pool is ejected; returns whether it was counted. */
    fun tryCountEjection(maximumEjectedShare: Double): Boolean {
        val limit = if (size <= 1) 0 else max(1, (size * maximumEjectedShare).toInt())
        while (true) {
            val previous = ejected.get()
            if (previous >= limit) return false
            if (ejected.compareAndSet(previous, previous + 1)) return true
        }
    }

    /** Counts that an ejected endpoint is reinstated. */
    fun countReinstatement() {
        ejected.updateAndGet { max(0, it - 1) }
    }

    private fun recordAnswer(millis: Double) {
        meanMillis.update { smooth(it, millis) }
        p95.record(millis)
        p99.record(millis)
    }

    private fun recordAbandoned(millis: Double) {
        p95.recordAtLeast(millis)
        p99.recordAtLeast(millis)
    }

    private fun smooth(previous: Double, newest: Double) =
        if (previous == 0.0) newest else previous + SMOOTHING * (newest - previous)

    private companion object {
        const val P95_QUANTILE = 0.95
        const val P99_QUANTILE = 0.99

        /** Weight of the newest sample in a smoothed time. */
        const val SMOOTHING = 0.05

        /** Time after the first use of a pool in which no endpoint counts as newly added, in milliseconds. */
        const val STARTING_MILLIS = 5_000
    }
}
