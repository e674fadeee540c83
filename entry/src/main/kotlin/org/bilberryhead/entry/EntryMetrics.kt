package org.bilberryhead.entry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.StageName
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Result of a request, as counted for attainment. */
enum class RequestResult {
    /** The complete response was sent within the deadline. */
    IN_TIME,

    /** The complete response was sent after the deadline. */
    LATE,

    /** Refused; the request had no effect. */
    NOT_RUN,

    /** No complete response; the request may have taken effect. */
    UNKNOWN,

    /** Rejected because the request itself is invalid. */
    REJECTED,

    /** The caller disconnected before the response was complete. */
    CALLER_GONE,
}

/** Metrics of an entry. Attainment of a kind is the share of its requests that have the result `in_time`. */
class EntryMetrics(private val registry: MeterRegistry) {
    /** Counts a request of [kind] that ended with [result] after [elapsed]. */
    fun countRequest(kind: RequestKind, result: RequestResult, elapsed: Duration) {
        Timer.builder("bilberry.requests")
            .description("Requests by kind and result, and the time that they took")
            .tag("kind", kind.value)
            .tag("result", result.name.lowercase())
            .register(registry)
            .record(elapsed.toJavaDuration())
    }

    /** Counts a refusal. */
    fun countRefusal(problem: Problem) = count(
        "bilberry.refusals",
        "Refusals by reason and outcome",
        "reason" to problem.reason,
        "outcome" to problem.outcome,
    )

    /** Counts the first attempt of a stage. */
    fun countFirstAttempt(stage: StageName) = countAttempt(stage, "first")

    /** Counts an attempt that retries a failed one. */
    fun countRetry(stage: StageName) = countAttempt(stage, "retry")

    /** Counts an attempt that was started because an earlier one is late. */
    fun countHedge(stage: StageName) = countAttempt(stage, "hedge")

    /** Registers the gauge [name] with the value that [read] returns. */
    fun gauge(name: String, description: String, read: () -> Number) {
        Gauge.builder(name, read).description(description).register(registry)
    }

    private fun countAttempt(stage: StageName, cause: String) = count(
        "bilberry.attempts",
        "Attempts sent by stage and cause: first, retry or hedge",
        "stage" to stage.value,
        "cause" to cause,
    )

    private fun count(name: String, description: String, vararg tags: Pair<String, String>) {
        val builder = Counter.builder(name).description(description)
        tags.forEach { (key, value) -> builder.tag(key, value) }
        builder.register(registry).increment()
    }
}
