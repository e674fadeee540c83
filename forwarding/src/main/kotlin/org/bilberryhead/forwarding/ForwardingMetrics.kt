package org.bilberryhead.forwarding

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Counts and times what the entry does. */
internal class ForwardingMetrics(private val registry: PrometheusMeterRegistry) {
    private val requestTimers = mutableMapOf<Pair<String, Int?>, Timer>()

    /** Counts a request on [route] that ended with [status] after [elapsed]; null when it had no final answer. */
    fun requestEnded(route: String, status: Int?, elapsed: Duration) {
        val timer = requestTimers.getOrPut(route to status) {
            Timer.builder("bilberry.forwarded")
                .description("Requests by route and status, and the time until their final answer")
                .tag("route", route)
                .tag("status", status?.toString() ?: "none")
                .publishPercentileHistogram()
                .minimumExpectedValue(SHORTEST)
                .maximumExpectedValue(LONGEST)
                .register(registry)
        }
        timer.record(elapsed.toJavaDuration())
    }

    /** Counts a request that was turned away before it was read whole. */
    fun rejectedUnread(status: Int) = Counter.builder("bilberry.rejected.unread")
        .description("Requests that were turned away before they were read whole, by status")
        .tag("status", status.toString())
        .register(registry)
        .increment()

    /** Counts a call to the store that ended with [result]. */
    fun storeCall(table: String, result: String) = Counter.builder("bilberry.store.calls")
        .description("Calls to the platform's store by table and result")
        .tag("table", table)
        .tag("result", result)
        .register(registry)
        .increment()

    /** Shows [value] as the gauge [name]. */
    fun gauge(name: String, description: String, value: () -> Number) {
        Gauge.builder(name, value).description(description).register(registry)
    }

    /** Returns everything as text. */
    fun scrape(): String = registry.scrape()

    private companion object {
        val SHORTEST: java.time.Duration = 5.milliseconds.toJavaDuration()
        val LONGEST: java.time.Duration = 20.seconds.toJavaDuration()
    }
}
