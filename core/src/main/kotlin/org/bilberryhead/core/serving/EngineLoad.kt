package org.bilberryhead.core.serving

import java.security.MessageDigest
import java.util.Base64
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Identifies a part of a prompt. Equal parts have equal ids. */
@JvmInline
value class PromptPartId(val value: String) {
    override fun toString(): String = value

    /** Makes ids of bounded length. */
    companion object {
        /** Longest id that is kept as it is, in characters. */
        private const val MAXIMUM_LENGTH = 32

        /** Bytes of a digest that stands for a longer id. */
        private const val DIGEST_BYTES = 16

        /** Returns the id that callers write as [text]; a digest stands for a long one. */
        fun of(text: String): PromptPartId = PromptPartId(if (text.length <= MAXIMUM_LENGTH) text else digestOf(text))

        private fun digestOf(text: String): String {
            val digest = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
            return "sha256-" + Base64.getUrlEncoder().withoutPadding().encodeToString(digest.copyOf(DIGEST_BYTES))
        }
    }
}

/** A part of a prompt and its length in tokens. */
data class PromptPart(val id: PromptPartId, val tokens: Int)

/**
 * The prompt of a generation and the maximum length of its output.
 *
 * @property parts the parts of the prompt in order; the last belongs only to the request or its session
 * @property inputTokens length of the prompt in tokens
 * @property outputTokens maximum number of tokens that are generated
 */
data class Prompt(val parts: List<PromptPart>, val inputTokens: Int, val outputTokens: Int) {
    /** The last part that other requests may share; the only part of a prompt with one; null when it has no parts. */
    val lastSharedPart: PromptPart? get() = parts.getOrNull(parts.size - 2) ?: parts.lastOrNull()
}

/**
 * Estimates the load and speed of one model engine, and which prompt parts its prefix cache holds. It knows the
 * requests of this entry, and those of other entries from load reports.
 *
 * Tokens that an engine has to process before the first event of a response are called prefill tokens.
 */
class EngineLoad(private val capacity: EngineCapacity) {
    private val partsUsedAt = LinkedHashMap<PromptPartId, Instant>()
    private var report: LoadReport? = null
    private var reportedAt: Instant? = null
    private var ownRequestsAtReport = 0
    private var pendingPrefillTokens = 0
    private var slowdown = 1.0
    private val waitingSince = mutableSetOf<Instant>()

    /** Requests of this entry that run on the engine. */
    var running = 0
        private set

    /** Tokens of [prompt] that the engine has to process because its prefix cache is not known to hold them. */
    fun prefillTokens(prompt: Prompt, now: Instant): Int {
        val cached = prompt.parts.takeWhile { part ->
            partsUsedAt[part.id]?.let { now - it < PREFIX_CACHE_LIFETIME } == true
        }
        return max(0, prompt.inputTokens - cached.sumOf { it.tokens })
    }

    /** Expected time until a request with [tokens] prefill tokens produces its first event. */
    fun expectedTimeToFirstEvent(tokens: Int, now: Instant): Duration {
        val prefill = (tokens + pendingPrefillTokens) / PREFILL_TOKENS_PER_MS
        val occupied = running + othersRunning(now)
        val queued = max(0, occupied + 1 - capacity.slots)
        val milliseconds = BASE_DELAY_MS + prefill +
            occupied * DELAY_PER_RUNNING_REQUEST_MS +
            queued * DELAY_PER_QUEUED_REQUEST_MS
        val longestWait = waitingSince.minOrNull()?.let { now - it } ?: Duration.ZERO
        return maxOf(milliseconds.milliseconds * slowdown, longestWait / 2)
    }

    /** Counts a request that is sent now. Its first event and its end are recorded with the returned object. */
    fun start(prompt: Prompt, now: Instant): EngineRequest {
        val tokens = prefillTokens(prompt, now)
        val request = EngineRequest(tokens, expectedTimeToFirstEvent(tokens, now), now)
        running++
        pendingPrefillTokens += tokens
        waitingSince += now
        prompt.parts.forEach { recordUse(it.id, now) }
        return request
    }

    /** Records that the first event of [request] has arrived. */
    fun recordFirstEvent(request: EngineRequest, now: Instant) {
        if (!request.endPrefill()) return
        pendingPrefillTokens -= request.prefillTokens
        waitingSince -= request.sentAt
        val ratio = (now - request.sentAt).toDouble(DurationUnit.MILLISECONDS) /
            max(MINIMUM_EXPECTED_MS, request.expectedTimeToFirstEvent.toDouble(DurationUnit.MILLISECONDS))
        slowdown = (slowdown * (1 - SLOWDOWN_WEIGHT + SLOWDOWN_WEIGHT * ratio))
            .coerceIn(MINIMUM_SLOWDOWN, MAXIMUM_SLOWDOWN)
    }

    /** Records that [request] has ended; [failed] when the engine aborted or refused it. */
    fun recordEnd(request: EngineRequest, failed: Boolean) {
        if (!request.finish()) return
        running--
        if (request.endPrefill()) {
            pendingPrefillTokens -= request.prefillTokens
            waitingSince -= request.sentAt
        }
        if (failed) slowdown = (slowdown * FAILURE_SLOWDOWN_FACTOR).coerceIn(MINIMUM_SLOWDOWN, MAXIMUM_SLOWDOWN)
    }

    /** Records a load report that came with a response. */
    fun recordReport(report: LoadReport, now: Instant) {
        this.report = report
        reportedAt = now
        ownRequestsAtReport = running
    }

    /** Moves the slowdown towards 1, so that an engine that was slow or failed is tried again. Called at intervals. */
    fun decaySlowdown() {
        slowdown = 1.0 + (slowdown - 1.0) * SLOWDOWN_DECAY
    }

    private fun othersRunning(now: Instant): Int {
        val latest = report ?: return 0
        if (now - (reportedAt ?: return 0) > REPORT_VALIDITY) return 0
        return max(0, latest.running + latest.waiting - ownRequestsAtReport)
    }

    private fun recordUse(part: PromptPartId, now: Instant) {
        partsUsedAt.remove(part)
        partsUsedAt[part] = now
        if (partsUsedAt.size > MAXIMUM_PARTS) partsUsedAt.remove(partsUsedAt.keys.first())
    }

    private companion object {
        const val PREFILL_TOKENS_PER_MS = 60.0
        const val BASE_DELAY_MS = 40.0
        const val DELAY_PER_RUNNING_REQUEST_MS = 1.5
        const val DELAY_PER_QUEUED_REQUEST_MS = 200.0
        const val MINIMUM_EXPECTED_MS = 20.0
        const val SLOWDOWN_WEIGHT = 0.15
        const val MINIMUM_SLOWDOWN = 0.5
        const val MAXIMUM_SLOWDOWN = 20.0
        const val FAILURE_SLOWDOWN_FACTOR = 3.0
        const val SLOWDOWN_DECAY = 0.9
        const val MAXIMUM_PARTS = 4_000
        val PREFIX_CACHE_LIFETIME = 20.seconds
        val REPORT_VALIDITY = 1.seconds
    }
}

/**
 * A request of this entry that was sent to an engine.
 *
 * @property prefillTokens tokens that the engine was expected to process
 */
class EngineRequest(val prefillTokens: Int, val expectedTimeToFirstEvent: Duration, val sentAt: Instant) {
    private var isPrefilling = true
    private var isOpen = true

    internal fun endPrefill(): Boolean = isPrefilling.also { isPrefilling = false }

    internal fun finish(): Boolean = isOpen.also { isOpen = false }
}
