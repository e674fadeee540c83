package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.forwarding.endpoint.Endpoint
import org.bilberryhead.forwarding.http.OutboundConnection
import kotlin.time.Instant

/** A stream whose endpoint can be replaced. */
internal interface ReplaceableStream {
    /** The attempt that the stream comes from; null after it has broken off. */
    val attempt: Attempt?

    /** Results that an engine needs to resume the stream. */
    val inputs: List<ResultHandle>

    /** Returns a new attempt at [endpoint], which has not been sent yet. */
    fun newAttempt(endpoint: Endpoint): Attempt

    /** Sends [replacement] on [connection]; the stream comes from it now. */
    fun moveTo(replacement: Attempt, connection: OutboundConnection)

    /** The stream goes on at [attempt] after all, for [reason]. */
    fun stayAt(attempt: Attempt, reason: String)

    /** No replacement was found, and the attempt has broken off meanwhile. */
    fun resumeAnywhere()
}

/**
 * Replaces the endpoint of a stream while it is silent. The silent attempt goes on until another endpoint has been sent
 * the request and has had time to refuse it, so that a failed replacement costs the caller nothing.
 *
 * @param tried endpoints that do not resume the stream
 */
internal class StreamReplacement(
    private val request: AdmittedRequest,
    private val context: ServingContext,
    private val tried: Set<Endpoint>,
    private val stream: ReplaceableStream,
) {
    private class Search(val silent: Attempt, val lastEventAt: Instant)

    private var search: Search? = null
    private val displaced = DisplacedAttempt(context.thread)

    /** Whether a replacement is being prepared or connected. */
    val isInProgress: Boolean get() = search != null

    /** Starts to replace the endpoint of [silent]; [connect] or [giveUp] follows. */
    fun start(silent: Attempt) {
        search = Search(silent, silent.lastEventAt)
    }

    /** Connects to another endpoint and moves the stream to it, unless the stream has gone on meanwhile. */
    fun connect() {
        val current = search ?: return
        val selection = AttemptEndpointSelector(context).select(request, stream.inputs, tried)
        if (selection !is AttemptEndpointSelector.Selection.Selected) return giveUp("no other endpoint is free")
        val replacement = stream.newAttempt(selection.endpoint)
        selection.endpoint.connections.acquire(
            mayRepeat = true,
            opened = { connection ->
                if (search === current && isNeeded(current)) {
                    move(replacement, connection)
                } else {
                    replacement.cancel()
                    connection.release()
                    if (search === current) giveUp("the stream went on")
                }
            },
            failed = { replacement.connectFailed(it) },
        )
    }

    private fun isNeeded(search: Search): Boolean {
        val attempt = stream.attempt ?: return true
        return attempt === search.silent && attempt.lastEventAt == search.lastEventAt
    }

    private fun move(replacement: Attempt, connection: OutboundConnection) {
        search = null
        stream.attempt?.let(displaced::keep)
        stream.moveTo(replacement, connection)
    }

    /** No other endpoint can resume the stream now, for [reason]. */
    fun giveUp(reason: String) {
        if (search == null) return
        search = null
        val attempt = stream.attempt
        if (attempt == null) stream.resumeAnywhere() else stream.stayAt(attempt, reason)
    }

    /** The replacement did not resume the stream. Returns whether it goes on at the silent endpoint. */
    fun takeBack(reason: String): Boolean {
        val kept = displaced.takeBack() ?: return false
        stream.stayAt(kept, reason)
        return true
    }

    /** The stream has gone on at its current endpoint, so that the displaced attempt is not needed any more. */
    fun streamWentOn() = displaced.timeOut()

    /** Forgets [failed], an attempt that has ended by itself. */
    fun drop(failed: Attempt) = displaced.drop(failed)

    /** Ends the search and the displaced attempt, because the request has ended. */
    fun end() {
        search = null
        displaced.cancel()
    }
}
