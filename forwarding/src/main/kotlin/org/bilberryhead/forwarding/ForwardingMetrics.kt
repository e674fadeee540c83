package org.bilberryhead.forwarding

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.bilberryhead.core.memory.MemoryKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Records the metrics of the entry. */
internal class ForwardingMetrics(private val registry: PrometheusMeterRegistry) {
    private val requestTimers = mutableMapOf<Pair<String, Int?>, Timer>()

    /** Records a request on [route] that took [elapsed]. [status] is null when it got no final response. */
    fun requestEnded(route: String, status: Int?, elapsed: Duration) {
        val timer = requestTimers.getOrPut(route to status) {
            Timer.builder("bilberry.forwarded")
                .description("Requests by route and status, and the time until their final answer")
                .tag("route", route)
                .tag("status", status?.toString() ?: "none")
                .publishPercentileHistogram()
                .minimumExpectedValue(SHORTEST_BUCKET)
                .maximumExpectedValue(LONGEST_BUCKET)
                .register(registry)
        }
        timer.record(elapsed.toJavaDuration())
    }

    /** Counts a request that was rejected with [status] before it was read completely. */
    fun rejectedUnread(status: Int) = Counter.builder("bilberry.rejected.unread")
        .description("Requests that were turned away before they were read whole, by status")
        .tag("status", status.toString())
        .register(registry)
        .increment()

    /** Counts a request that is refused because a part of its prompt crashes endpoints. */
    fun refusedByQuarantine() = Counter.builder("bilberry.quarantine.refused")
        .description("Requests that are refused because a part of their prompt crashes endpoints")
        .register(registry)
        .increment()

    /** Counts a request that finds all endpoints of its pool resting. */
    fun refusedByRest() = Counter.builder("bilberry.rest.refused")
        .description("Requests for which no endpoint was left because all of their pool have asked for rest")
        .register(registry)
        .increment()

    /** Counts a hedge by what became of it. */
    fun hedge(outcome: String) = Counter.builder("bilberry.hedges")
        .description("Second attempts beside a slow first one, by outcome: sent, and then one of the others")
        .tag("outcome", outcome)
        .register(registry)
        .increment()

    /** Counts a request that was not hedged for [reason]. */
    fun hedgeNotAllowed(reason: String) = Counter.builder("bilberry.hedges.not.allowed")
        .description("Requests that were not hedged, by reason")
        .tag("reason", reason)
        .register(registry)
        .increment()

    /** Counts a crash of an endpoint, or another report of this entry on the same crash. */
    fun endpointCrashed() = Counter.builder("bilberry.endpoint.crashes")
        .description("Reports of this entry on crashes of endpoints that were about to answer prompts")
        .register(registry)
        .increment()

    /** Counts a call to the store about [table] that ended with [result]. */
    fun storeCall(table: String, result: String) = Counter.builder("bilberry.store.calls")
        .description("Calls to the platform's store by table and result")
        .tag("table", table)
        .tag("result", result)
        .register(registry)
        .increment()

    /** Registers a gauge of the bytes that [kind] holds, which [value] returns. */
    fun memoryHeld(kind: MemoryKind, value: () -> Long) {
        Gauge.builder("bilberry.memory.held") { value() }
            .description("Bytes that requests and responses hold, by kind")
            .tag("kind", kind.name.lowercase())
            .register(registry)
    }

    /** Registers a gauge [name] that reports [value]. */
    fun gauge(name: String, description: String, value: () -> Number) {
        Gauge.builder(name, value).description(description).register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    private companion object {
        val SHORTEST_BUCKET: java.time.Duration = 5.milliseconds.toJavaDuration()
        val LONGEST_BUCKET: java.time.Duration = 20.seconds.toJavaDuration()
    }
}
