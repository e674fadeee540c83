package org.bilberryhead.entry

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.IdempotencyKey
import org.bilberryhead.core.execution.Ticket
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.message.AttemptOutcome
import org.bilberryhead.core.message.OutcomeReport
import org.bilberryhead.platform.ClaimKey
import org.bilberryhead.platform.ClaimOutcome
import org.bilberryhead.platform.ClaimStore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Outcome of the request that was submitted with a key. */
@Serializable
enum class KeyOutcome {
    /** The endpoint responded; submitting the request again with the key returns that response. */
    @SerialName("answered")
    ANSWERED,

    /** The request is queued or running. */
    @SerialName("running")
    RUNNING,

    /** The request has had no effect so far; a submission in flight may still run. */
    @SerialName("not_run_yet")
    NOT_RUN_YET,

    /** It cannot be determined now whether the request ran. */
    @SerialName("unknown")
    UNKNOWN,
}

/** Looks up the outcome of a key. Runs nothing, and a later submission with the key can still run. */
internal class OutcomeLookup(
    private val links: LinkSource,
    private val claims: ClaimStore,
    private val timeout: Duration = 1.seconds,
) {
    /** Returns the outcome of the request that [account] submitted with [key]. */
    suspend fun find(account: ClientAccount, key: IdempotencyKey): KeyOutcome {
        if (!Ticket.isTicket(key.value)) return outcomeOfClaim(ClaimKey(account, key))
        val location = Ticket.decode(key.value).getOrElse { return KeyOutcome.UNKNOWN }
        return outcomeAt(location)
    }

    private suspend fun outcomeOfClaim(key: ClaimKey): KeyOutcome {
        val found = withTimeoutOrNull(timeout) { claims.find(key) } ?: return KeyOutcome.UNKNOWN
        val claim = found.getOrElse { return KeyOutcome.UNKNOWN } ?: return KeyOutcome.NOT_RUN_YET
        return if (claim.outcome == ClaimOutcome.ANSWERED) KeyOutcome.ANSWERED else outcomeAt(claim.location)
    }

    /** Queries the outcome of the attempt at [first], and of the locations that it was moved to. */
    private suspend fun outcomeAt(first: AttemptLocation): KeyOutcome {
        var location = first
        repeat(MAXIMUM_MOVES) {
            val report = query(location) ?: return KeyOutcome.UNKNOWN
            location = report.movedTo ?: return outcomeOf(report.outcome)
        }
        return KeyOutcome.UNKNOWN
    }

    private fun outcomeOf(outcome: AttemptOutcome): KeyOutcome = when (outcome) {
        AttemptOutcome.NEVER_SEEN, AttemptOutcome.NOT_RUN -> KeyOutcome.NOT_RUN_YET
        AttemptOutcome.RUNNING -> KeyOutcome.RUNNING
        AttemptOutcome.ANSWERED -> KeyOutcome.ANSWERED
        AttemptOutcome.FAILED, AttemptOutcome.FORGOTTEN -> KeyOutcome.UNKNOWN
    }

    private suspend fun query(location: AttemptLocation): OutcomeReport? {
        val link = links.link(location.endpoint) ?: return null
        return withTimeoutOrNull(timeout) {
            link.awaitFirstConnection(timeout)
            link.queryOutcome(location, timeout)
        }
    }

    private companion object {
        /** Maximum number of moves to another location that are followed for one request. */
        const val MAXIMUM_MOVES = 8
    }
}
