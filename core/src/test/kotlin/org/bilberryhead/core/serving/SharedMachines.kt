package org.bilberryhead.core.serving

import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private typealias Choose = (List<Int>, (Int) -> EndpointLoad, Instant) -> Int

/** One simulated endpoint, whose speed changes several times per second and whose full queue refuses work. */
private class SharedMachine(private val timeline: Timeline, seed: Int, private val level: Double) {
    private val speeds = Random(seed)
    private val noise = Random(seed + 1)
    private val queue = ArrayDeque<(Instant) -> Unit>()
    private var running = 0
    private var factor = 1.0
    var received = 0
        private set

    /** Changes the speed at random times until [end]. */
    fun vary(now: Instant, end: Instant) {
        factor = (level * exp(speeds.asJavaRandom().nextGaussian() * DEVIATION)).coerceIn(0.5, 6.0)
        if (now < end) timeline.schedule(now + (100 + speeds.nextInt(300)).milliseconds) { vary(it, end) }
    }

    /** Runs work of [size]; [onResponse] gets the report and whether the work was run. */
    fun submit(size: Duration, now: Instant, onResponse: (LoadReport, Boolean, Instant) -> Unit) {
        received++
        if (running + queue.size >= SLOTS + QUEUE_LENGTH) return onResponse(report(), false, now)
        val start = { at: Instant ->
            running++
            timeline.schedule(at + size * factor) { end ->
                onResponse(report(), true, end)
                running--
                queue.removeFirstOrNull()?.invoke(end)
            }
        }
        if (running < SLOTS) start(now) else queue.addLast(start)
    }

    private fun report() =
        LoadReport(running, queue.size, SLOTS, factor * exp(noise.asJavaRandom().nextGaussian() * NOISE))

    companion object {
        const val SLOTS = 6
        const val QUEUE_LENGTH = 6

        /** Standard deviation of the logarithm of the work time factor. */
        const val DEVIATION = 0.6

        /** Standard deviation of the logarithm of the error of a reported factor. */
        const val NOISE = 0.2
    }
}

/**
 * The load and the machines of a simulation.
 *
 * @property perSecond average number of requests per second
 * @property wave rate in the first quarter of each second, relative to the average
 * @property firstLevel median work time factor of the first machine; it is 1.2 on the others
 */
internal data class SharedLoad(val perSecond: Double, val wave: Double = 1.0, val firstLevel: Double = 1.2)

/**
 * The result of a simulation.
 *
 * @property inTime share of the requests that were answered in time
 * @property refused refusals per request
 * @property largestShare share of the attempts that the endpoint with most of them received
 */
internal data class SharedResult(val inTime: Double, val refused: Double, val largestShare: Double)

/** Simulates 28 entries that send short work to 4 endpoints on shared machines. */
internal class SharedMachines(private val seed: Int, private val withFactor: Boolean, private val choose: Choose) {
    private val random = Random(seed)
    private val timeline = Timeline()
    private val loads = List(ENTRIES) { List(ENDPOINTS) { EndpointLoad(SharedMachine.SLOTS, 50.milliseconds) } }
    private val delays = List(ENTRIES) { List(ENDPOINTS) { (1 + random.nextInt(5)).milliseconds } }
    private lateinit var machines: List<SharedMachine>
    private var refused = 0
    private var inTime = 0

    fun run(load: SharedLoad): SharedResult {
        val start = Instant.fromEpochSeconds(1_000)
        val end = start + LENGTH
        machines =
            List(ENDPOINTS) { SharedMachine(timeline, seed * 100 + it * 2, if (it == 0) load.firstLevel else 1.2) }
        machines.forEach { it.vary(start, end) }
        var at = start
        var count = 0
        while (at < end) {
            val inWave = at.toEpochMilliseconds() % 1_000 < 250
            val rate = load.perSecond * if (inWave) load.wave else (4 - load.wave) / 3
            at += (exponential() / rate).seconds
            val entry = random.nextInt(ENTRIES)
            val size = MEAN_WORK * exponential()
            timeline.schedule(at) { now -> send(entry, size, now, now, emptySet()) }
            count++
        }
        timeline.run()
        val received = machines.map { it.received }
        return SharedResult(
            inTime = inTime / count.toDouble(),
            refused = refused / count.toDouble(),
            largestShare = received.max() / received.sum().toDouble(),
        )
    }

    private fun exponential() = -ln(1 - random.nextDouble())

    private fun send(entry: Int, size: Duration, began: Instant, now: Instant, tried: Set<Int>) {
        val target = choose(machines.indices - tried, { loads[entry][it] }, now)
        val load = loads[entry][target]
        val delay = delays[entry][target]
        load.recordStart(now)
        timeline.schedule(now + delay) { arrival ->
            machines[target].submit(size, arrival) { report, wasRun, end ->
                timeline.schedule(end + delay) { at ->
                    load.recordReport(if (withFactor) report else report.copy(workTimeFactor = null), at)
                    load.recordEnd(if (wasRun) ExchangeResult.SUCCEEDED else ExchangeResult.REFUSED, at - now, at)
                    if (wasRun && at - began <= OBJECTIVE) inTime++
                    if (!wasRun) refused++
                    if (!wasRun && tried.size + 1 < ATTEMPTS) send(entry, size, began, at, tried + target)
                }
            }
        }
    }

    private companion object {
        const val ENTRIES = 28
        const val ENDPOINTS = 4
        const val ATTEMPTS = 3
        val MEAN_WORK = 15.milliseconds
        val OBJECTIVE = 100.milliseconds
        val LENGTH = 40.seconds
    }
}
