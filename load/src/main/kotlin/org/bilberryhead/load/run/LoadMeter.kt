package org.bilberryhead.load.run

import kotlinx.serialization.Serializable
import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration

/** How a request ended, as its caller saw it. */
enum class CallerResult { ANSWERED, LATE, NOT_RUN, UNKNOWN, REJECTED, BROKEN }

/** Latency of the responses at a percentile, in milliseconds. */
@Serializable
data class LatencyPoint(val percentile: Double, val millis: Double)

/**
 * Results of the requests of one kind.
 *
 * @property attainment share of the requests that were answered within their deadline
 * @property rejected requests that the entry rejected as invalid
 * @property broken requests whose connection was lost before a response
 */
@Serializable
data class KindReport(
    val kind: String,
    val sent: Long,
    val attainment: Double,
    val answered: Long,
    val late: Long,
    val notRun: Long,
    val unknown: Long,
    val rejected: Long,
    val broken: Long,
    val latency: List<LatencyPoint>,
)

/** Counts results and latencies by kind. Safe for use by several threads. */
class LoadMeter {
    private class KindMeter {
        val latencies = ConcurrentHistogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS)
        val results = CallerResult.entries.associateWith { LongAdder() }
    }

    private val meters = ConcurrentHashMap<String, KindMeter>()

    /** Records that a request of [kind] ended with [result], [latency] after it was due. */
    fun record(kind: String, result: CallerResult, latency: Duration) {
        val meter = meters.computeIfAbsent(kind) { KindMeter() }
        meter.results.getValue(result).increment()
        val isAnswered = result == CallerResult.ANSWERED || result == CallerResult.LATE
        if (isAnswered) meter.latencies.recordValue(latency.inWholeMicroseconds.coerceIn(1, MAXIMUM_MICROS))
    }

    /** Number of requests that have ended. */
    val ended: Long get() = meters.values.sumOf { meter -> meter.results.values.sumOf { it.sum() } }

    /** Returns the results by kind. */
    fun report(): List<KindReport> = meters.toSortedMap().map { (kind, meter) -> reportOf(kind, meter) }

    private fun reportOf(kind: String, meter: KindMeter): KindReport {
        val counts = meter.results.mapValues { it.value.sum() }
        val sent = counts.values.sum()
        return KindReport(
            kind = kind,
            sent = sent,
            attainment = counts.getValue(CallerResult.ANSWERED).toDouble() / sent.coerceAtLeast(1),
            answered = counts.getValue(CallerResult.ANSWERED),
            late = counts.getValue(CallerResult.LATE),
            notRun = counts.getValue(CallerResult.NOT_RUN),
            unknown = counts.getValue(CallerResult.UNKNOWN),
            rejected = counts.getValue(CallerResult.REJECTED),
            broken = counts.getValue(CallerResult.BROKEN),
            latency = PERCENTILES.map { LatencyPoint(it, meter.latencies.getValueAtPercentile(it) / MICROS_PER_MILLI) },
        )
    }

    private companion object {
        const val MAXIMUM_MICROS = 120_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val MICROS_PER_MILLI = 1000.0
        val PERCENTILES = listOf(50.0, 75.0, 90.0, 95.0, 99.0, 99.9)
    }
}
