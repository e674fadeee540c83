package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.AttemptOutcome
import org.bilberryhead.core.serving.HedgeObstacle
import org.bilberryhead.core.serving.HedgeSituation
import org.bilberryhead.core.serving.RepeatRule
import org.bilberryhead.forwarding.Timer
import org.bilberryhead.forwarding.endpoint.Endpoint
import org.bilberryhead.forwarding.http.OutboundConnection
import kotlin.time.Duration
import kotlin.time.Instant

/** What became of a hedge that was sent. */
internal enum class HedgeOutcome {
    /** It answered first. */
    WON,

    /** The other attempt answered first. */
    LOST,

    /** It failed. */
    FAILED,

    /** The request ended without a response of an endpoint while the hedge was running. */
    ABANDONED,
}

/**
 * Sends a second attempt of an idempotent request while the first one is slow, and ends the one that loses.
 *
 * The silence check is stopped while both are running, so that no third attempt is made. It guards the attempt that is
 * left when one of the two has failed.
 *
 * @param tried endpoints that are not asked
 * @param retries the retries of the request, one of which is taken when a hedge is sent
 */
internal class RequestHedge(
    private val request: AdmittedRequest,
    private val context: ServingContext,
    private val tried: Set<Endpoint>,
    private val retries: RequestRetries,
    private val silenceCheck: SilenceCheck,
    private val decisionLog: RequestDecisionLog,
    private val execution: ReplaceableRequest,
) {
    private var timer: Timer? = null

    /** The attempt that is being connected, or runs beside the attempt of the request. */
    private var candidate: Attempt? = null

    /** The hedge that was sent, until its outcome is known; it runs alone once the first attempt has failed. */
    private var sent: Attempt? = null

    /** Whether a hedge was sent, or the silence check acted on the request. */
    private var isDone = false

    /** Whether the request was counted as one that may be hedged. */
    private var isCounted = false

    /** When each attempt was sent. */
    private val sentAt = mutableMapOf<Attempt, Instant>()

    /**
     * Notes that [attempt] is sent now, and hedges it after the delay of its pool if the request is idempotent. The
     * response times of requests that may run once count as well, since an entry may get few others.
     */
    fun schedule(attempt: Attempt) {
        if (!context.hedging.isEnabled || request.route.repeatRule.isStream) return
        val now = context.thread.now()
        sentAt[attempt] = now
        if (request.route.repeatRule != RepeatRule.IDEMPOTENT) return
        if (!isCounted) context.hedging.countRequest(request.pool)
        isCounted = true
        if (isDone) return
        val delay = context.hedging.delay(request.pool, now)
            ?: return context.metrics.hedgeNotAllowed(HedgeObstacle.FEW_SAMPLES.label)
        timer?.cancel()
        timer = context.thread.after(delay) { execution.guarded { connect(attempt) } }
    }

    private fun connect(first: Attempt) {
        if (execution.attempt !== first || isDone || !context.hedging.isEnabled) return
        val endpoint = HedgeEndpointSelector(context).select(request, execution.inputs, first.endpoint, tried)
        val obstacle = currentObstacle(first, hasEndpoint = endpoint != null)
        if (endpoint == null || obstacle != null) return decisionLog.hedgeNotAllowed(checkNotNull(obstacle).label)
        val hedge = execution.newAttempt(endpoint)
        candidate = hedge
        endpoint.connections.acquire(
            requestId = request.id.value,
            mayRepeat = true,
            opened = { connection -> execution.guarded { useConnection(first, hedge, connection) } },
            failed = { reason -> execution.guarded { hedge.connectFailed(reason) } },
        )
    }

    private fun currentObstacle(first: Attempt, hasEndpoint: Boolean): HedgeObstacle? {
        val now = context.thread.now()
        val situation = HedgeSituation(
            remaining = request.deadline - now,
            hasResponseBegun = first.hasReceivedHead,
            isDraining = context.drain != null,
            doRequestsWait = context.connectionWaitQueue.hasWaiters(request.pool),
            hasEndpoint = hasEndpoint,
            isQuarantined = context.quarantine.isQuarantined(request.sharedParts),
            hasRetry = retries.isAvailable(),
        )
        return context.hedging.obstacleTo(request.pool, situation, now)
    }

    private fun useConnection(first: Attempt, hedge: Attempt, connection: OutboundConnection) {
        if (candidate !== hedge) return connection.release()
        val obstacle = currentObstacle(first, context.endpoints.isUsable(hedge.endpoint)) ?: takeFromLimits()
        if (obstacle == null) return send(first, hedge, connection)
        dropCandidate()
        connection.release()
        decisionLog.hedgeNotAllowed(obstacle.label)
    }

    private fun takeFromLimits(): HedgeObstacle? = when {
        !context.hedging.take(request.pool) -> HedgeObstacle.LIMIT
        !retries.take() -> HedgeObstacle.NO_RETRY
        else -> null
    }

    private fun send(first: Attempt, hedge: Attempt, connection: OutboundConnection) {
        val now = context.thread.now()
        val endpoint = hedge.endpoint
        silenceCheck.stop()
        isDone = true
        sent = hedge
        sentAt[hedge] = now
        retries.recordSent()
        context.endpoints.cold.recordSent(endpoint.entry)
        hedge.isSent = true
        decisionLog.attemptSent(endpoint, retries.attemptCount)
        decisionLog.hedgeSent(endpoint, delay = now - sentAt.getValue(first))
        val outbound = OutboundRequests.create(request, endpoint.entry.id, execution.inputs, lastEventId = null, now)
        hedge.send(outbound, connection)
    }

    /** [winner] has answered the request: records the response time, and ends the other attempt. */
    fun answered(winner: Attempt) {
        elapsedOf(winner)?.let { context.hedging.recordResponseTime(request.pool, it, context.thread.now()) }
        if (sent != null && candidate != null) {
            val loser = if (winner === candidate) execution.attempt else candidate
            loser?.let(::recordUnanswered)
            loser?.cancel(isOvertaken = true)
            candidate = null
        }
        sentAt.clear()
        reportOutcome(if (winner === sent) HedgeOutcome.WON else HedgeOutcome.LOST)
    }

    /** The silence check replaces [expired], so that the request is not hedged any more. */
    fun replaced(expired: Attempt) {
        timer?.cancel()
        isDone = true
        dropCandidate()
        recordUnanswered(expired)
    }

    /**
     * Handles the failure of [failed] when the other attempt can go on alone, without taking a retry. Returns false
     * when it cannot, so that the usual rule for failures applies.
     */
    fun handleFailure(failed: Attempt, failure: AttemptFailure): Boolean {
        val hedge = candidate
        if (failed === execution.attempt) timer?.cancel()
        if (failed === sent) reportOutcome(HedgeOutcome.FAILED)
        if (hedge == null || (failed !== hedge && failed !== execution.attempt)) return false
        if (!hedge.isSent) return handleFailureBeforeSending(failed, failure)
        candidate = null
        when (failure.outcome) {
            AttemptOutcome.NotSent -> retries.recordNotSent()
            AttemptOutcome.NotRun -> Unit
            else -> retries.recordMayHaveRun()
        }
        decisionLog.attemptFailed(failed.endpoint, failure.reason, "the other attempt goes on")
        if (failed === hedge) {
            execution.attempt?.let(silenceCheck::start)
        } else {
            execution.stayAt(hedge, failure.reason)
        }
        return true
    }

    /** Without a connection for the hedge the first attempt goes on; if that has failed, the request is sent again. */
    private fun handleFailureBeforeSending(failed: Attempt, failure: AttemptFailure): Boolean {
        val isFirst = failed !== candidate
        dropCandidate()
        if (!isFirst) decisionLog.attemptFailed(failed.endpoint, failure.reason, "no hedge")
        return !isFirst
    }

    /** Ends the hedge, because the request has ended. */
    fun end() {
        timer?.cancel()
        execution.attempt?.let(::recordUnanswered)
        reportOutcome(HedgeOutcome.ABANDONED)
        dropCandidate()
    }

    private fun dropCandidate() {
        candidate?.cancel()
        candidate = null
    }

    private fun reportOutcome(outcome: HedgeOutcome) {
        sent?.let { decisionLog.hedgeEnded(it.endpoint, outcome) }
        sent = null
    }

    private fun elapsedOf(attempt: Attempt): Duration? = sentAt[attempt]?.let { context.thread.now() - it }

    private fun recordUnanswered(attempt: Attempt) {
        elapsedOf(attempt)?.let { context.hedging.recordUnanswered(request.pool, it, context.thread.now()) }
    }

    private companion object {
        val HedgeObstacle.label: String get() = name.lowercase()
    }
}
