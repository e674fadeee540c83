package org.bilberryhead.load.bench

import java.util.Locale

/**
 * One measured cost.
 *
 * @property points number of things that the cost was measured for
 * @property unit what [value] counts for each thing
 */
data class Measurement(val name: String, val points: Int, val value: Double, val unit: String) {
    /** Returns one row of a Markdown table. */
    fun row(): String = String.format(Locale.ROOT, "| %s | %d | %.3f %s |", name, points, value, unit)
}

/** Measures time and memory of short operations in this process. */
object Measure {
    private const val ROUNDS = 5
    private const val NANOS_PER_MICRO = 1000.0
    private const val SETTLE_ROUNDS = 3

    /** Returns the time of one call of [operation] in microseconds: the least of several rounds of [calls]. */
    fun microseconds(name: String, points: Int, calls: Int, operation: (Int) -> Any?): Measurement {
        var sink = 0
        var least = Double.MAX_VALUE
        repeat(ROUNDS) {
            val before = System.nanoTime()
            for (call in 0 until calls) sink = sink xor operation(call).hashCode()
            least = minOf(least, (System.nanoTime() - before) / NANOS_PER_MICRO / calls)
        }
        check(sink != Int.MIN_VALUE) { "keeps the calls from being left out" }
        return Measurement(name, points, least, "us")
    }

    /** Returns the heap memory of one of [count] things that [build] returns, in bytes. */
    fun bytes(name: String, count: Int, build: () -> Any): Measurement {
        val before = usedHeap()
        val built = build()
        val after = usedHeap()
        check(built.hashCode() != Int.MIN_VALUE) { "keeps the things alive" }
        return Measurement(name, count, (after - before).toDouble() / count, "B")
    }

    private fun usedHeap(): Long {
        repeat(SETTLE_ROUNDS) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }
}
