package org.bilberryhead.load.run

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One request, due [at] after the start whether or not earlier requests have ended. */
data class Arrival(val at: Duration, val kind: KindMix, val account: AccountMix, val target: String)

/** The arrivals of a plan: a Poisson process whose rate follows the bursts. The same seed gives the same arrivals. */
class ArrivalSchedule(private val plan: LoadPlan) {
    /** Returns every arrival in order of time. */
    fun arrivals(): Sequence<Arrival> = sequence {
        val random = Random(plan.seed)
        var at = Duration.ZERO
        var number = 0
        while (true) {
            at += nextGap(at, random)
            if (at >= plan.duration) break
            val kind = pick(plan.kinds, random) { it.weight }
            val account = pick(plan.accounts, random) { it.weight }
            yield(Arrival(at, kind, account, plan.targets[number++ % plan.targets.size]))
        }
    }

    private fun nextGap(at: Duration, random: Random): Duration {
        val rate = plan.ratePerSecond * factorAt(at)
        return (-ln(1 - random.nextDouble()) / rate).seconds
    }

    private fun factorAt(at: Duration): Double =
        plan.bursts.firstOrNull { at >= it.at && at < it.at + it.duration }?.factor ?: 1.0

    private fun <T> pick(choices: List<T>, random: Random, weight: (T) -> Double): T {
        var remaining = random.nextDouble() * choices.sumOf(weight)
        for (choice in choices) {
            remaining -= weight(choice)
            if (remaining < 0) return choice
        }
        return choices.last()
    }
}
