package org.bilberryhead.forwarding.request

import org.bilberryhead.forwarding.endpoint.Endpoint
import kotlin.time.Duration
import kotlin.time.Instant

/** Writes the decisions on one request to the decision log, with the figures on which they were based. */
internal class RequestDecisionLog(private val request: AdmittedRequest, private val context: ServingContext) {
    private var timeToFirstEvent: Duration? = null
    private var preparationTime: Duration? = null
    private var longestPause: Duration? = null
    private var attemptCount = 0

    /** The figures by which each endpoint was selected. */
    private val selectionFields = mutableMapOf<Endpoint, Map<String, Any?>>()

    /** All preparation stages are complete; the request reads [inputCount] results. */
    fun prepared(inputCount: Int) {
        preparationTime = elapsed()
        context.decisions.write("request prepared") { commonFields() + mapOf("inputs" to inputCount) }
    }

    /** [endpoint] was selected; the request is sent there once a connection is open. */
    fun endpointSelected(endpoint: Endpoint) {
        val now = context.thread.now()
        selectionFields[endpoint] = mapOf(
            "expected_ms" to endpoint.load.expectedResponseTime(now).inWholeMilliseconds,
            "own_in_flight" to endpoint.load.inFlight,
            "fault_rate" to "%.2f".format(endpoint.load.currentFailureRate(now)),
        ) + workTimeField(endpoint, now)
    }

    /** How much longer than usual work takes at [endpoint]; nothing when it does not report it. */
    private fun workTimeField(endpoint: Endpoint, now: Instant): Map<String, Any> {
        val factor = endpoint.load.workTimeFactor
        return if (factor.isReported) mapOf("work_time" to "%.2f".format(factor.current(now))) else emptyMap()
    }

    /** The request is sent to [endpoint] now, as attempt number [attemptNumber]. */
    fun attemptSent(endpoint: Endpoint, attemptNumber: Int) {
        attemptCount = attemptNumber
        context.decisions.write("request sent") {
            val sentTo = mapOf(
                "endpoint" to endpoint.entry.id,
                "address" to endpoint.entry.address,
                "attempt" to attemptNumber,
            )
            commonFields() + sentTo + selectionFields[endpoint].orEmpty() +
                mapOf("configuration" to request.configurationVersion)
        }
    }

    /** No endpoint can be selected, because all of the pool rest; the caller is to come back after [retryAfter]. */
    fun allEndpointsRest(retryAfter: Duration) {
        context.metrics.refusedByRest()
        context.decisions.write("all endpoints rest") {
            commonFields() + mapOf("pool" to request.pool, "retry_after_ms" to retryAfter.inWholeMilliseconds)
        }
    }

    /** The first event of the stream has been forwarded to the caller. */
    fun firstEventForwarded() {
        timeToFirstEvent = elapsed()
    }

    /** A hedge is sent to [endpoint], [delay] after the first attempt was sent. */
    fun hedgeSent(endpoint: Endpoint, delay: Duration) {
        context.metrics.hedge("sent")
        context.decisions.write("hedge sent") {
            commonFields() + mapOf("endpoint" to endpoint.entry.id, "delay_ms" to delay.inWholeMilliseconds)
        }
    }

    /** A hedge that was sent to [endpoint] has ended with [outcome]. */
    fun hedgeEnded(endpoint: Endpoint, outcome: HedgeOutcome) {
        val name = outcome.name.lowercase()
        context.metrics.hedge(name)
        context.decisions.write("hedge ended") {
            commonFields() + mapOf("endpoint" to endpoint.entry.id, "outcome" to name)
        }
    }

    /** The request is not hedged, or the connection for the hedge could not be used, for [reason]. */
    fun hedgeNotAllowed(reason: String) {
        context.metrics.hedgeNotAllowed(reason)
        context.decisions.write("hedge not allowed") { commonFields() + mapOf("reason" to reason) }
    }

    /** Another event of the stream has been forwarded, [pause] after the one before it. */
    fun eventForwarded(pause: Duration) {
        longestPause = maxOf(longestPause ?: pause, pause)
    }

    /** An attempt has failed; [nextStep] says what follows. */
    fun attemptFailed(endpoint: Endpoint?, reason: String, nextStep: String) =
        context.decisions.write("attempt failed") {
            commonFields() + mapOf("endpoint" to endpoint?.entry?.id, "reason" to reason, "next" to nextStep)
        }

    /** The stream goes on at [endpoint], which was silent, because no other one resumed it. */
    fun attemptKept(endpoint: Endpoint, reason: String) = context.decisions.write("attempt kept") {
        commonFields() +
            mapOf("endpoint" to endpoint.entry.id, "reason" to reason)
    }

    /** The request has its final response, or its caller has disconnected; then [status] is null. */
    fun requestEnded(status: Int?, reason: String, endpoint: Endpoint?) {
        context.metrics.requestEnded(request.route.name, status, elapsed())
        context.decisions.write("request ended") {
            commonFields() + mapOf(
                "status" to status,
                "reason" to reason,
                "endpoint" to endpoint?.entry?.id,
                "attempts" to attemptCount,
                "prepared_ms" to preparationTime?.inWholeMilliseconds,
                "first_event_ms" to timeToFirstEvent?.inWholeMilliseconds,
                "longest_pause_ms" to longestPause?.inWholeMilliseconds,
            )
        }
    }

    private fun elapsed(): Duration = context.thread.now() - request.callerRequest.receivedAt

    private fun commonFields(): Map<String, Any?> = mapOf(
        "request" to request.id,
        "route" to request.route.name,
        "elapsed_ms" to elapsed().inWholeMilliseconds,
    )
}
