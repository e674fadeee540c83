package org.bilberryhead.cli.client

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.delay
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.operator.ChangeResponse
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Calls to entries that propose a change and query its outcome. */
interface ChangeCalls {
    /** Proposes [change], once. */
    suspend fun propose(change: TableChange): Result<ChangeResponse, CallError>

    /** Returns the outcome of the change [id]. */
    suspend fun outcome(id: ChangeId): Result<ChangeResponse, CallError>
}

/**
 * Proposes a change once. When the response is lost or the outcome is unknown, polls for the outcome by the change's id
 * until it is known or [timeout] has passed.
 */
class ChangeSubmission(
    private val calls: ChangeCalls,
    private val clock: Clock,
    private val timeout: Duration = DEFAULT_TIMEOUT,
    private val pollInterval: Duration = DEFAULT_POLL_INTERVAL,
) {
    /**
     * Returns the outcome of [change]. Returns an error when the change was not sent, when an entry rejected it, or
     * when an entry does not authorize the query for its outcome. Calls [onUnknown] with the reason before the first
     * query.
     */
    suspend fun submit(change: TableChange, onUnknown: (String) -> Unit): Result<ChangeResponse, CallError> {
        val first = calls.propose(change)
        val reason = first.fold(
            success = { (it as? ChangeResponse.Unknown)?.detail },
            failure = { (it as? CallError.ResponseLost)?.detail },
        ) ?: return first
        onUnknown(reason)
        return awaitOutcome(change.id, reason)
    }

    private suspend fun awaitOutcome(id: ChangeId, reason: String): Result<ChangeResponse, CallError> {
        val deadline = clock.now() + timeout
        while (true) {
            val response = calls.outcome(id)
            val isFinal = response.fold(
                success = { it !is ChangeResponse.Unknown },
                failure = { it is CallError.NotAuthorized },
            )
            if (isFinal) return response
            if (clock.now() >= deadline) return Ok(ChangeResponse.Unknown(reason))
            delay(pollInterval)
        }
    }

    private companion object {
        val DEFAULT_TIMEOUT = 20.seconds
        val DEFAULT_POLL_INTERVAL = 500.milliseconds
    }
}
