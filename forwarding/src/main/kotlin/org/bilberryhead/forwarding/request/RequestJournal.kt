package org.bilberryhead.forwarding.request

import org.bilberryhead.forwarding.endpoint.Endpoint
import kotlin.time.Duration

/** Writes what is decided on one request, with what decided it. */
internal class RequestJournal(private val request: AdmittedRequest, private val context: ServingContext) {
    private var firstEventAfter: Duration? = null
    private var preparedAfter: Duration? = null
    private var attempts = 0

    /** All preparation stages are done. */
    fun prepared(inputs: Int) {
        preparedAfter = elapsed()
        context.decisions.write("request prepared") { common() + mapOf("inputs" to inputs) }
    }

    /** An attempt begins. */
    fun sending(endpoint: Endpoint, number: Int) {
        attempts = number
        val now = context.thread.now()
        context.decisions.write("request sent") {
            common() + mapOf(
                "endpoint" to endpoint.entry.id,
                "address" to endpoint.entry.address,
                "attempt" to number,
                "expected_ms" to endpoint.load.expectedAnswerTime(now).inWholeMilliseconds,
                "own_in_flight" to endpoint.load.inFlight,
                "fault_rate" to "%.2f".format(endpoint.load.currentFailureRate(now)),
                "configuration" to request.configurationVersion,
            )
        }
    }

    /** The first event of a stream is passed on. */
    fun firstEvent() {
        firstEventAfter = elapsed()
    }

    /** An attempt has failed. */
    fun failed(endpoint: Endpoint?, reason: String, step: String) = context.decisions.write("attempt failed") {
        common() + mapOf("endpoint" to endpoint?.entry?.id, "reason" to reason, "next" to step)
    }

    /** The request has its final answer, or needs none any more. */
    fun ended(status: Int?, reason: String, endpoint: Endpoint?) {
        context.metrics.requestEnded(request.route.name, status, elapsed())
        context.decisions.write("request ended") {
            common() + mapOf(
                "status" to status,
                "reason" to reason,
                "endpoint" to endpoint?.entry?.id,
                "attempts" to attempts,
                "prepared_ms" to preparedAfter?.inWholeMilliseconds,
                "first_event_ms" to firstEventAfter?.inWholeMilliseconds,
            )
        }
    }

    private fun elapsed(): Duration = context.thread.now() - request.caller.receivedAt

    private fun common(): Map<String, Any?> = mapOf(
        "request" to request.id,
        "route" to request.route.name,
        "elapsed_ms" to elapsed().inWholeMilliseconds,
    )
}
