package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.forwarding.endpoint.Endpoint
import org.bilberryhead.forwarding.http.OutboundConnection
import kotlin.time.Instant

/** A request that another endpoint can take over. */
internal interface ReplaceableRequest {
    /** The attempt that the response comes from; null after it has broken off. */
    val attempt: Attempt?

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

    /** No replacement was found, and the attempt has broken off meanwhile. */
    fun dispatchAgain()
}

/**
 * Replaces the endpoint of a request while it is silent. The silent attempt goes on until another endpoint has been
 * sent the request and has had time to refuse it, so that a failed replacement costs the caller nothing.
 *
 * @param tried endpoints that do not take over
 */
internal class AttemptReplacement(
    private val request: AdmittedRequest,
    private val context: ServingContext,
    private val tried: Set<Endpoint>,
    private val execution: ReplaceableRequest,
) {
    private class Search(val silent: Attempt, val lastEventAt: Instant) {
        /** The attempt at the endpoint that is to take over; null until one is selected. */
        var candidate: Attempt? = null
    }

    private var search: Search? = null
    private val displaced = DisplacedAttempt(context.thread)

    /** Whether a replacement is being prepared or connected. */
    val isInProgress: Boolean get() = search != null

    /** Starts to replace the endpoint of [silent]; [connect] or [giveUp] follows. */
    fun start(silent: Attempt) {
        search = Search(silent, silent.lastEventAt)
    }

    /** Connects to another endpoint and moves the request to it, unless the response has gone on meanwhile. */
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
        if (search === current && isNeeded(current)) return move(replacement, connection)
        replacement.cancel()
        connection.release()
        if (search === current) giveUp("the response went on")
    }

    private fun isNeeded(search: Search): Boolean {
        val attempt = execution.attempt ?: return true
        return attempt === search.silent && attempt.lastEventAt == search.lastEventAt
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
        execution.stayAt(kept, reason)
        return true
    }

    /** The response has gone on at its current endpoint, so that the displaced attempt is not needed any more. */
    fun responseWentOn() = displaced.timeOut()

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
