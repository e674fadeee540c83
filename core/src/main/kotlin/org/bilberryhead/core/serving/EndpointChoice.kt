package org.bilberryhead.core.serving

import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Chooses among endpoints without an engine by their expected response times.
 *
 * Normally this is the endpoint with the shortest time. The reported speed of a shared machine is out of date when it
 * is read, and entries that read the same report would all send to the same endpoint. Where endpoints report a work
 * time factor, the faster one of two random candidates is therefore chosen.
 */
class EndpointChoice(private val random: Random) {
    /** Returns one of [candidates], which must not be empty. */
    fun <T> choose(candidates: List<T>, loadOf: (T) -> EndpointLoad, now: Instant): T {
        val expected = candidates.map { loadOf(it).expectedResponseTime(now).toDouble(DurationUnit.MILLISECONDS) }
        if (candidates.size == 1 || candidates.none { loadOf(it).workTimeFactor.isReported }) {
            return candidates[expected.indices.minBy(expected::get)]
        }
        val first = draw(expected, expected.indices.toList())
        val second = draw(expected, expected.indices - first)
        return candidates[minOf(first, second, compareBy(expected::get))]
    }

    /** Draws one of [indices]; shorter expected times are more probable. */
    private fun draw(expected: List<Double>, indices: List<Int>): Int {
        val weights = indices.map { expected[it].coerceAtLeast(MINIMUM_EXPECTED_MS).pow(-WEIGHT_EXPONENT) }
        var remaining = random.nextDouble() * weights.sum()
        return indices.zip(weights).firstOrNull { (_, weight) ->
            remaining -= weight
            remaining < 0
        }?.first ?: indices.last()
    }

    private companion object {
        /** Keeps the weight finite when the expected time is zero. */
        const val MINIMUM_EXPECTED_MS = 0.1

        /** Prefers fast endpoints, and still chooses slow ones, since reports arrive only with responses. */
        const val WEIGHT_EXPONENT = 2.0
    }
}
