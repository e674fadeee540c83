package org.bilberryhead.daemon

import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/** Reports whether a daemon accepts work, for the platform's load balancer. */
fun interface Readiness {
    /** Returns the reason why the daemon is not ready, or null when it is ready. */
    fun notReadyReason(): String?
}

/** Returns a registry for the metrics that `/metrics` serves. */
fun newMeterRegistry(): PrometheusMeterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

/** Serves `/metrics`, `/health/live` and `/health/ready`. */
fun Route.operationsRoutes(registry: PrometheusMeterRegistry, readiness: Readiness) {
    get("/metrics") { call.respondText(registry.scrape()) }
    get("/health/live") { call.respondText("live\n") }
    get("/health/ready") {
        val reason = readiness.notReadyReason()
        if (reason == null) {
            call.respondText("ready\n")
        } else {
            call.respondText("not ready: $reason\n", status = HttpStatusCode.ServiceUnavailable)
        }
    }
}
