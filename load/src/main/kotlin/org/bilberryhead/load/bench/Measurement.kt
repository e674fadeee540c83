package org.bilberryhead.load.bench

import java.util.Locale

/**
 * One measured cost.
 *
 * @property itemCount number of items that the cost was measured with
 * @property unit unit of [value], which is the cost per call or item
 */
data class Measurement(val name: String, val itemCount: Int, val value: Double, val unit: String) {
    /** Returns one row of a Markdown table. */
    fun row(): String = String.format(Locale.ROOT, "| %s | %d | %.3f %s |", name, itemCount, value, unit)
}

/** Measures time and memory of short operations in this process. */
object Measure {
    private const val ROUNDS = 5
    private const val NANOS_PER_MICRO = 1000.0
    private const val GC_ROUNDS = 3

    /** Returns the time of one call of [operation] in microseconds: the least of several rounds of [calls] calls. */
    fun microseconds(name: String, itemCount: Int, calls: Int, operation: (Int) -> Any?): Measurement {
        var sink = 0
        var least = Double.MAX_VALUE
        repeat(ROUNDS) {
            val before = System.nanoTime()
            for (call in 0 until calls) sink = sink xor operation(call).hashCode()
            least = minOf(least, (System.nanoTime() - before) / NANOS_PER_MICRO / calls)
        }
        check(sink != Int.MIN_VALUE) { "uses the results, so that the compiler cannot eliminate the calls" }
        return Measurement(name, itemCount, least, "us")
    }

    /** Returns the heap memory per item of the [count] items that [build] creates, in bytes. */
    fun bytes(name: String, count: Int, build: () -> Any): Measurement {
        val before = usedHeap()
        val built = build()
        val after = usedHeap()
        check(built.hashCode() != Int.MIN_VALUE) { "keeps the items reachable until the heap is measured" }
        return Measurement(name, count, (after - before).toDouble() / count, "B")
    }

    private fun usedHeap(): Long {
        repeat(GC_ROUNDS) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }
}
