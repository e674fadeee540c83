package org.bilberryhead.core.pipeline

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.tables.Route
import kotlin.time.Duration

/** The attempts of one request, and what they prove about it. */
internal class RequestAttempts(private val request: AdmittedRequest, private val route: Route) {
    private val records = LinkedHashMap<AttemptId, AttemptRecord>()

    operator fun get(attempt: AttemptId): AttemptRecord? = records[attempt]

    operator fun contains(attempt: AttemptId): Boolean = attempt in records

    fun add(record: AttemptRecord) {
        records[record.location.attempt] = record
    }

    /** Returns the attempts of stage [stageIndex] that may still be answered. */
    fun open(stageIndex: Int): List<AttemptRecord> = records.values.filter { it.isOpen && it.stageIndex == stageIndex }

    /** Returns the endpoints that stage [stageIndex] was sent to. */
    fun endpointsTried(stageIndex: Int): Set<EndpointId> =
        records.values.filter { it.stageIndex == stageIndex }.map { it.location.endpoint }.toSet()

    /** Returns the endpoints whose sidecars never saw the attempt that was sent to them. */
    fun endpointsNeverReached(): Set<EndpointId> =
        records.values.filter { it.wasNeverSeen }.map { it.location.endpoint }.toSet()

    /** Returns what can truthfully be told when the request ends now, without an answer, for [reason]. */
    fun outcome(reason: FailureReason, retryAfter: Duration?): RequestOutcome {
        val mayHaveRun = records.values.filter { it.mayHaveRun }
        if (mayHaveRun.isEmpty() && !isTicketUnasked()) return RequestOutcome.NotRun(reason, retryAfter)
        val isRepeatable = !isTicketUnasked() && mayHaveRun.all { route.stages[it.stageIndex].idempotent }
        return RequestOutcome.Unknown(reason, isRepeatable, retryAfter)
    }

    /** An earlier submission may have run under a ticket that this one has not asked about. */
    private fun isTicketUnasked(): Boolean = request.ticket != null && records.values.none { it.isShared }
}
