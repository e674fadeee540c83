package org.bilberryhead.core.pipeline

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.tables.Route
import kotlin.time.Duration

/** The attempts of one request, and the outcome that follows from their states. */
internal class RequestAttempts(private val request: AdmittedRequest, private val route: Route) {
    private val records = LinkedHashMap<AttemptId, AttemptRecord>()

    operator fun get(attempt: AttemptId): AttemptRecord? = records[attempt]

    operator fun contains(attempt: AttemptId): Boolean = attempt in records

    fun add(record: AttemptRecord) {
        records[record.location.attempt] = record
    }

    /** Returns the attempts of stage [stageIndex] that can still receive a response. */
    fun open(stageIndex: Int): List<AttemptRecord> = records.values.filter { it.isOpen && it.stageIndex == stageIndex }

    /** Returns the endpoints that attempts of stage [stageIndex] were sent to. */
    fun endpointsTried(stageIndex: Int): Set<EndpointId> =
        records.values.filter { it.stageIndex == stageIndex }.map { it.location.endpoint }.toSet()

    /** Returns the endpoints whose sidecars reported that an attempt never reached them. */
    fun endpointsNeverReached(): Set<EndpointId> =
        records.values.filter { it.neverReachedSidecar }.map { it.location.endpoint }.toSet()

    /**
     * Returns the outcome of a request that ends now without a response, for [reason]. It is [RequestOutcome.NotRun]
     * only if no stage can have run.
     */
    fun outcome(reason: FailureReason, retryAfter: Duration?): RequestOutcome {
        val mayHaveRun = records.values.filter { it.mayHaveRun }
        if (mayHaveRun.isEmpty() && !isTicketStatusUnknown()) return RequestOutcome.NotRun(reason, retryAfter)
        val isRepeatable = !isTicketStatusUnknown() && mayHaveRun.all { route.stages[it.stageIndex].idempotent }
        return RequestOutcome.Unknown(reason, isRepeatable, retryAfter)
    }

    /** Whether an earlier submission may have run under the ticket, because its sidecar was never contacted. */
    private fun isTicketStatusUnknown(): Boolean = request.ticket != null && records.values.none { it.isShared }
}
