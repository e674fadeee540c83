package org.bilberryhead.daemon

import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/** Whether a daemon can take work; read by the platform's balancer. */
fun interface Readiness {
    /** Returns null when ready, or else why not. */
    fun notReadyReason(): String?
}

/** Returns the registry that `/metrics` shows. */
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
