package org.bilberryhead.core.serving

import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Names a part of a prompt; equal parts have equal ids. */
@JvmInline
value class PromptPartId(val value: String) {
    override fun toString(): String = value
}

/** A part of a prompt and its length in tokens. */
data class PromptPart(val id: PromptPartId, val tokens: Int)

/**
 * What a generation reads and makes.
 *
 * @property parts the parts of the prompt in order; the last belongs to the request or its session alone
 * @property outputTokens most tokens that are generated
 */
data class Prompt(val parts: List<PromptPart>, val inputTokens: Int, val outputTokens: Int) {
    /** The last part that other requests may have too, or null. */
    val lastSharedPart: PromptPart? get() = parts.getOrNull(parts.size - 2) ?: parts.lastOrNull()
}

/** What this entry knows of one engine: requests of its own, the parts that it has read there, and its speed. */
class EngineLoad(private val shape: EngineCapacity) {
    private val partsUsedAt = LinkedHashMap<PromptPartId, Instant>()
    private var report: LoadReport? = null
    private var reportedAt: Instant? = null
    private var ownAtReport = 0
    private var unreadTokens = 0
    private var slowness = 1.0
    private val waitingSince = mutableSetOf<Instant>()

    /** Requests of this entry at the engine. */
    var running = 0
        private set

    /** Tokens of [prompt] that the engine is not known to hold. */
    fun prefillTokens(prompt: Prompt, now: Instant): Int {
        val held = prompt.parts.takeWhile { part -> partsUsedAt[part.id]?.let { now - it < PART_LIFE } == true }
        return max(0, prompt.inputTokens - held.sumOf { it.tokens })
    }

    /** Expected time until a request with [tokens] to read shows its first event. */
    fun expectedTimeToFirstEvent(tokens: Int, now: Instant): Duration {
        val reading = (tokens + unreadTokens) / TOKENS_READ_PER_MS
        val occupied = running + othersRunning(now)
        val full = max(0, occupied + 1 - shape.slots)
        val milliseconds = BASE_MS + reading + occupied * SHARED_STEP_MS + full * FULL_SLOT_MS
        val longestWait = waitingSince.minOrNull()?.let { now - it } ?: Duration.ZERO
        return maxOf(milliseconds.milliseconds * slowness, longestWait / 2)
    }

    /** Counts a request that is sent now and returns the record to end it with. */
    fun begin(prompt: Prompt, now: Instant): EngineRequest {
        val tokens = prefillTokens(prompt, now)
        val visit = EngineRequest(tokens, expectedTimeToFirstEvent(tokens, now), now)
        running++
        unreadTokens += tokens
        waitingSince += now
        prompt.parts.forEach { remember(it.id, now) }
        return visit
    }

    /** The first event of [visit] has arrived. */
    fun recordFirstEvent(visit: EngineRequest, now: Instant) {
        if (!visit.stopReading()) return
        unreadTokens -= visit.prefillTokens
        waitingSince -= visit.sentAt
        val ratio = (now - visit.sentAt).toDouble(DurationUnit.MILLISECONDS) /
            max(MINIMUM_EXPECTED_MS, visit.expectedTimeToFirstEvent.toDouble(DurationUnit.MILLISECONDS))
        slowness = (slowness * (1 - SPEED_WEIGHT + SPEED_WEIGHT * ratio)).coerceIn(FASTEST, SLOWEST)
    }

    /** [visit] has ended; [failed] when the engine broke it off or refused it. */
    fun end(visit: EngineRequest, failed: Boolean) {
        if (!visit.finish()) return
        running--
        if (visit.stopReading()) {
            unreadTokens -= visit.prefillTokens
            waitingSince -= visit.sentAt
        }
        if (failed) slowness = (slowness * FAULT_FACTOR).coerceIn(FASTEST, SLOWEST)
    }

    /** Takes a report that came with an answer. */
    fun recordReport(report: LoadReport, now: Instant) {
        this.report = report
        reportedAt = now
        ownAtReport = running
    }

    /** Lets the memory of faults and slowness fade, so that an engine is tried again. */
    fun decaySlowdown() {
        slowness = 1.0 + (slowness - 1.0) * FADE
    }

    private fun othersRunning(now: Instant): Int {
        val last = report ?: return 0
        if (now - (reportedAt ?: return 0) > REPORT_LIFE) return 0
        return max(0, last.running + last.waiting - ownAtReport)
    }

    private fun remember(part: PromptPartId, now: Instant) {
        partsUsedAt.remove(part)
        partsUsedAt[part] = now
        if (partsUsedAt.size > MAXIMUM_PARTS) partsUsedAt.remove(partsUsedAt.keys.first())
    }

    private companion object {
        const val TOKENS_READ_PER_MS = 60.0
        const val BASE_MS = 40.0
        const val SHARED_STEP_MS = 1.5
        const val FULL_SLOT_MS = 200.0
        const val MINIMUM_EXPECTED_MS = 20.0
        const val SPEED_WEIGHT = 0.15
        const val FASTEST = 0.5
        const val SLOWEST = 20.0
        const val FAULT_FACTOR = 3.0
        const val FADE = 0.9
        const val MAXIMUM_PARTS = 4_000
        val PART_LIFE = 20.seconds
        val REPORT_LIFE = 1.seconds
    }
}

/** One request of this entry at an engine. */
class EngineRequest(val prefillTokens: Int, val expectedTimeToFirstEvent: Duration, val sentAt: Instant) {
    private var reading = true
    private var open = true

    internal fun stopReading(): Boolean = reading.also { reading = false }

    internal fun finish(): Boolean = open.also { open = false }
}
