package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.forwarding.endpoint.Endpoint
import org.bilberryhead.forwarding.http.OutboundConnection

/** A request that another endpoint can take over. */
internal interface ReplaceableRequest {
    /** The attempt that the response comes from; null after it has broken off. */
    val attempt: Attempt?

    /** Whether the end of a drain could cut the request if it were sent now. */
    val isTooLate: Boolean

    /** Results that an engine needs to run the request. */
    val inputs: List<ResultHandle>

    /** Runs [block]; an exception that was not expected ends the request. */
    fun guarded(block: () -> Unit)

    /** Returns a new attempt at [endpoint], which has not been sent yet. */
    fun newAttempt(endpoint: Endpoint): Attempt

    /** Sends [replacement] on [connection]; the response comes from it now. */
    fun moveTo(replacement: Attempt, connection: OutboundConnection)

    /** The request goes on at [attempt] after all, for [reason]. */
    fun stayAt(attempt: Attempt, reason: String)

    /** No replacement was found. The attempt has broken off meanwhile, for which a retry has been taken. */
    fun dispatchAgain()
}

/**
 * Replaces the endpoint of a request while it is silent. The silent attempt goes on until another endpoint has been
 * sent the request and has had time to refuse it, so that a failed replacement costs the caller nothing.
 *
 * @param tried endpoints that do not take over
 * @param retries the retries of the request, one of which is taken when a replacement is sent
 */
internal class AttemptReplacement(
    private val request: AdmittedRequest,
    private val context: ServingContext,
    private val tried: Set<Endpoint>,
    private val retries: RequestRetries,
    private val execution: ReplaceableRequest,
) {
    private class Search {
        /** The attempt at the endpoint that is to take over; null until one is selected. */
        var candidate: Attempt? = null
    }

    private var search: Search? = null
    private val displaced = DisplacedAttempt(context.thread)

    /** Whether a replacement is being prepared or connected. */
    val isInProgress: Boolean get() = search != null

    /** Starts to replace the endpoint of the current attempt; [connect] or [giveUp] follows. */
    fun start() {
        search = Search()
    }

    /** Connects to another endpoint and moves the request to it, unless the response goes on meanwhile. */
    fun connect() {
        val current = search ?: return
        val selector = AttemptEndpointSelector(context)
        if (!selector.hasUntried(request, tried)) return giveUp("no other endpoint is free")
        val selection = selector.select(request, execution.inputs, tried)
        if (selection !is AttemptEndpointSelector.Selection.Selected) return giveUp("no other endpoint is free")
        val replacement = execution.newAttempt(selection.endpoint)
        current.candidate = replacement
        selection.endpoint.connections.acquire(
            requestId = request.id.value,
            mayRepeat = true,
            opened = { connection -> execution.guarded { useConnection(current, replacement, connection) } },
            failed = { reason -> execution.guarded { replacement.connectFailed(reason) } },
        )
    }

    private fun useConnection(current: Search, replacement: Attempt, connection: OutboundConnection) {
        val obstacle = if (search === current) obstacleTo(replacement) else "it is not needed any more"
        if (obstacle == null) return move(replacement, connection)
        replacement.cancel()
        connection.release()
        if (search === current) giveUp(obstacle)
    }

    /** Takes the retry for [replacement] and returns null, or why it cannot be sent. */
    private fun obstacleTo(replacement: Attempt): String? = when {
        !context.endpoints.isUsable(replacement.endpoint) -> "the other endpoint accepts no new work"
        execution.isTooLate -> "the process ends soon"
        // Once the attempt has broken off, the retry has been taken.
        execution.attempt != null && !retries.take() -> "no retry is left"
        else -> null
    }

    private fun move(replacement: Attempt, connection: OutboundConnection) {
        search = null
        execution.attempt?.let(displaced::keep)
        execution.moveTo(replacement, connection)
    }

    /** No other endpoint can take over now, for [reason]. */
    fun giveUp(reason: String) {
        if (search == null) return
        search = null
        val attempt = execution.attempt
        if (attempt == null) execution.dispatchAgain() else execution.stayAt(attempt, reason)
    }

    /** The replacement did not take over. Returns whether the request goes on at the silent endpoint. */
    fun takeBack(reason: String): Boolean {
        val kept = displaced.takeBack() ?: return false
        search = null
        execution.stayAt(kept, reason)
        kept.resume()
        return true
    }

    /** The response has gone on at its current endpoint, so that no other attempt is needed any more. */
    fun responseWentOn() {
        displaced.timeOut()
        giveUp("the response went on")
    }

    /** [failed], which is not the attempt of the request, has ended by itself for [reason]. */
    fun otherAttemptFailed(failed: Attempt, reason: String) {
        if (!displaced.drop(failed) && search?.candidate === failed) giveUp(reason)
    }

    /** Ends the search and the displaced attempt, because the request has ended. */
    fun end() {
        search = null
        displaced.cancel()
    }
}
