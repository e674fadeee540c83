package org.bilberryhead.core.quarantine

import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.serving.PromptPartId
import org.bilberryhead.core.serving.Timeline
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val SIMULATION_START = Instant.fromEpochSeconds(1_000)

/**
 * The traffic and the trouble of a simulation.
 *
 * @property badShare share of the requests with the bad part, from 0 to 1
 * @property hasCommonPart whether all prompts share their first part
 * @property connectionEndShare share of the responses that end with their connection, from 0 to 1
 * @property otherCrashInterval average time between crashes for other reasons
 */
internal data class SimulatedTraffic(
    val badShare: Double = QuarantineSimulation.BAD_SHARE,
    val hasCommonPart: Boolean = false,
    val connectionEndShare: Double = 0.0,
    val otherCrashInterval: Duration = 4.seconds,
)

/** A sound request that was sent [at]; [hasBegun] once its first attempt was answered. */
internal class SoundRequest(val at: Instant) {
    var hasBegun = false
}

/** A simulated endpoint; [run] counts its starts. */
private class SimulatedEngine(val name: String) {
    class Waiting(val entry: PartQuarantine, val parts: List<PromptPartId>, val endsWithConnection: Boolean)

    var run = 1L
    var isUp = true
    val waiting = mutableSetOf<Waiting>()
}

/**
 * Entries that share reports with delays, in front of engines. Prompts share an instruction, one of 3, and a document,
 * chosen by Zipf's law, as [prompt] says; some of them have the [badPart] besides, as [traffic] says. Engines crash
 * also for other reasons, and answers get lost.
 */
internal class QuarantineSimulation(
    seed: Int,
    private val entryCount: Int = 5,
    engineCount: Int = 13,
    private val traffic: SimulatedTraffic = SimulatedTraffic(),
) {
    private val random = Random(seed)
    private val timeline = Timeline()
    private val engines = List(engineCount) { SimulatedEngine("engine-$it") }
    private val weights = List(DOCUMENT_COUNT) { (it + 1).toDouble().pow(-ZIPF_EXPONENT) }
    private var badCrashes = 0
    val badPart = PromptPartId("bad")
    val entries = List(entryCount) { PartQuarantine() }

    /** When the fifth crash by the bad part happened; null before. */
    var fifthCrashAt: Instant? = null
        private set

    /** Requests with the bad part that reached engines once all entries could know of the fifth crash. */
    var lateBadRequests = 0
        private set

    /** When requests with the bad part reached engines, in order. */
    val badRequests = mutableListOf<Instant>()

    /** The sound requests, in the order in which they were sent. */
    val sentSoundRequests = mutableListOf<SoundRequest>()
    val soundRequests: Int get() = sentSoundRequests.size
    var soundAnswers = 0
        private set

    /** Plays [duration] of traffic, to its end. */
    fun play(duration: Duration) {
        val end = SIMULATION_START + duration
        scheduleRequest(SIMULATION_START, end)
        var crashAt = SIMULATION_START + traffic.otherCrashInterval
        while (crashAt < end) {
            timeline.schedule(crashAt) { now -> crash(engines.random(random), now) }
            crashAt += traffic.otherCrashInterval * (0.5 + random.nextDouble())
        }
        timeline.run()
    }

    private fun scheduleRequest(at: Instant, end: Instant): Unit = timeline.schedule(at) { now ->
        val parts = prompt()
        val isBad = badPart in parts
        val sound = if (isBad) null else SoundRequest(now).also { sentSoundRequests += it }
        attempt(entries.random(random), parts, sound, attemptsLeft = MAXIMUM_ATTEMPTS, now)
        if (now < end) scheduleRequest(now + REQUEST_INTERVAL * (2 * random.nextDouble()), end)
    }

    private fun prompt(): List<PromptPartId> {
        val document = drawDocument()
        val parts = mutableListOf(PromptPartId("instruction-${document % 3}"), PromptPartId("document-$document"))
        if (traffic.hasCommonPart) parts.add(0, COMMON_PART)
        if (random.nextDouble() < traffic.badShare) parts.add(random.nextInt(parts.size + 1), badPart)
        return parts
    }

    private fun drawDocument(): Int {
        var rest = random.nextDouble() * weights.sum()
        return weights.indexOfFirst {
            rest -= it
            rest <= 0
        }.coerceAtLeast(0)
    }

    private fun attempt(
        entry: PartQuarantine,
        parts: List<PromptPartId>,
        sound: SoundRequest?,
        attemptsLeft: Int,
        now: Instant,
    ) {
        if (entry.quarantineOf(parts) != null || attemptsLeft == 0) return
        val engine = engineFor(parts) ?: return
        val isBad = sound == null
        if (isBad) badRequests += now
        if (isBad && fifthCrashAt?.let { now > it + LONGEST_KNOWLEDGE_DELAY } == true) lateBadRequests++
        val request = SimulatedEngine.Waiting(entry, parts, endsWithConnection())
        val run = engine.run
        engine.waiting += request
        timeline.schedule(now + (50 + random.nextInt(350)).milliseconds) { at ->
            when {
                engine.run != run -> attempt(entry, parts, sound, attemptsLeft - 1, at)
                isBad -> crashByBadPart(engine, request, at) { attempt(entry, parts, sound, attemptsLeft - 1, it) }
                else -> {
                    if (attemptsLeft == MAXIMUM_ATTEMPTS) sound?.hasBegun = true
                    answer(engine, request, at)
                }
            }
        }
    }

    private fun endsWithConnection() =
        traffic.connectionEndShare > 0 && random.nextDouble() < traffic.connectionEndShare

    /** Prefers the engine that has the document in its cache, as the placement does. */
    private fun engineFor(parts: List<PromptPartId>): SimulatedEngine? {
        val up = engines.filter { it.isUp }
        val preferred = engines[parts.first { it != badPart && "document" in it.value }.hashCode().mod(engines.size)]
        return if (preferred.isUp && random.nextDouble() < 0.8) preferred else up.randomOrNull(random)
    }

    private fun answer(engine: SimulatedEngine, request: SimulatedEngine.Waiting, now: Instant) {
        engine.waiting -= request
        if (random.nextDouble() < LOST_ANSWERS) return
        val run = engine.run
        timeline.schedule(now + (100 + random.nextInt(2_000)).milliseconds) { at ->
            if (engine.run == run) {
                soundAnswers++
                if (request.endsWithConnection) end(engine, request, at) else recordSuccess(request, at)
            }
        }
    }

    /** Counts a response that ended with its connection as sound unless its engine crashes shortly after. */
    private fun end(engine: SimulatedEngine, request: SimulatedEngine.Waiting, now: Instant) {
        val run = engine.run
        timeline.schedule(now + PENDING_TIME) { at ->
            if (engine.run == run) recordSuccess(request, at) else report(engine, run, request.entry, request.parts, at)
        }
    }

    private fun recordSuccess(request: SimulatedEngine.Waiting, now: Instant) {
        if (request.entry.recordSuccess(request.parts, now)) shareReports(request.entry, now)
    }

    private fun crashByBadPart(
        engine: SimulatedEngine,
        request: SimulatedEngine.Waiting,
        now: Instant,
        retry: (Instant) -> Unit,
    ) {
        // The crash ends the response as a sound end would.
        if (request.endsWithConnection && engine.waiting.remove(request)) end(engine, request, now)
        crash(engine, now)
        if (++badCrashes == 5) fifthCrashAt = now
        timeline.schedule(now + 2.milliseconds) { retry(it) }
    }

    private fun crash(engine: SimulatedEngine, now: Instant) {
        if (!engine.isUp) return
        val run = engine.run
        val suspects = engine.waiting.groupBy({ it.entry }, { it.parts })
        engine.waiting.clear()
        engine.run++
        engine.isUp = false
        timeline.schedule(now + 3.seconds) { engine.isUp = true }
        for ((entry, prompts) in suspects) {
            timeline.schedule(now + 50.milliseconds) { at ->
                report(engine, run, entry, prompts.flatten(), at)
            }
        }
    }

    private fun report(
        engine: SimulatedEngine,
        run: Long,
        entry: PartQuarantine,
        parts: List<PromptPartId>,
        now: Instant,
    ) {
        entry.record(CrashReport(CrashId(EndpointId(engine.name), run), parts.toSet()), now, isOwn = true)
        shareReports(entry, now)
    }

    private fun shareReports(entry: PartQuarantine, now: Instant) {
        for (other in entries.filter { it !== entry }) {
            val delay = if (random.nextDouble() < SLOW_SHARING) SLOW_DELAY else (100 + random.nextInt(200)).milliseconds
            timeline.schedule(now + delay) { at -> entry.ownReports.forEach { other.record(it, at) } }
        }
    }

    companion object {
        const val BAD_SHARE = 0.05
        private const val DOCUMENT_COUNT = 167
        private const val ZIPF_EXPONENT = 0.8
        private const val LOST_ANSWERS = 0.03
        private const val SLOW_SHARING = 0.1
        private val SLOW_DELAY = 1.seconds
        private val LONGEST_KNOWLEDGE_DELAY = 50.milliseconds + SLOW_DELAY
        private val REQUEST_INTERVAL = 25.milliseconds
        private const val MAXIMUM_ATTEMPTS = 2
        private val COMMON_PART = PromptPartId("common")
        private val PENDING_TIME = 250.milliseconds
    }
}
