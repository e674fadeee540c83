package org.bilberryhead.entry

import io.ktor.http.HttpStatusCode
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.pipeline.FailureReason
import org.bilberryhead.core.pipeline.RequestOutcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Value of [Problem.outcome]: the request provably had no effect. */
const val OUTCOME_NOT_RUN = "not_run"

/** Value of [Problem.outcome]: the request may have taken effect. */
const val OUTCOME_UNKNOWN = "unknown"

/** Prefix of every problem type; the reason follows, with hyphens. */
private const val PROBLEM_TYPE_PREFIX = "urn:bilberryhead:problem:"

/**
 * A refusal in the form of RFC 9457.
 *
 * @property type URN, one for each reason; stable, and not a link to documentation
 * @property outcome [OUTCOME_NOT_RUN] or [OUTCOME_UNKNOWN]
 * @property reason machine-readable reason of the refusal
 * @property repeatable whether the same request, with the same key, may be sent again without harm
 */
@Serializable
data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val outcome: String,
    val reason: String,
    val requestId: String,
    val repeatable: Boolean,
) {
    /** Returns the problem as JSON. */
    fun toJson(): String = Json.encodeToString(this)
}

/** A [problem] and the delay after which a retry may succeed; null when a retry is not advised. */
data class Refusal(val problem: Problem, val retryAfter: Duration?)

/** Converts [rejection] of a request that reached no endpoint. */
internal fun refusalOf(id: RequestId, rejection: Rejection, hasKey: Boolean): Refusal {
    val reason = rejection.reason
    val mayHaveRunBefore = hasKey && !reason.provesNothingRan
    val detail = if (mayHaveRunBefore) "${rejection.detail}; $EARLIER_SUBMISSION" else rejection.detail
    val outcome = if (mayHaveRunBefore) OUTCOME_UNKNOWN else OUTCOME_NOT_RUN
    return Refusal(problemOf(id, reason.status, reason.name, detail, outcome, repeatable = true), rejection.retryAfter)
}

/** Converts [outcome] of a request, or returns null when the request was answered. */
internal fun refusalOf(id: RequestId, outcome: RequestOutcome, hasKey: Boolean): Refusal? = when (outcome) {
    is RequestOutcome.Answered -> null
    is RequestOutcome.NotRun -> Refusal(
        problemOf(
            id,
            statusOf(outcome.reason),
            outcome.reason.name,
            notRunDetail(outcome.reason),
            OUTCOME_NOT_RUN,
            true,
        ),
        outcome.retryAfter ?: retryAfterOf(outcome.reason),
    )
    is RequestOutcome.Unknown -> {
        val repeatable = outcome.repeatable || hasKey
        val detail = if (repeatable) UNKNOWN_REPEATABLE_DETAIL else UNKNOWN_DETAIL
        Refusal(
            problemOf(id, statusOf(outcome.reason), outcome.reason.name, detail, OUTCOME_UNKNOWN, repeatable),
            if (repeatable) outcome.retryAfter ?: retryAfterOf(outcome.reason) else null,
        )
    }
}

/** Returns the refusal for an internal error of the entry, after which the request may have been dispatched. */
internal fun internalError(id: RequestId): Refusal {
    val status = HttpStatusCode.InternalServerError
    return Refusal(problemOf(id, status, "INTERNAL_ERROR", UNKNOWN_DETAIL, OUTCOME_UNKNOWN, repeatable = false), null)
}

private fun problemOf(
    id: RequestId,
    status: HttpStatusCode,
    reason: String,
    detail: String,
    outcome: String,
    repeatable: Boolean,
) = Problem(
    type = PROBLEM_TYPE_PREFIX + reason.lowercase().replace('_', '-'),
    title = status.description,
    status = status.value,
    detail = detail,
    outcome = outcome,
    reason = reason.lowercase(),
    requestId = id.value,
    repeatable = repeatable,
)

private fun statusOf(reason: FailureReason): HttpStatusCode = when (reason) {
    FailureReason.DEADLINE_PASSED, FailureReason.SIDECAR_GONE -> HttpStatusCode.GatewayTimeout
    FailureReason.ENDPOINT_FAILED, FailureReason.ANSWER_INCOMPLETE -> HttpStatusCode.BadGateway
    FailureReason.KEY_REUSED -> HttpStatusCode.UnprocessableEntity
    FailureReason.KEY_SHARED -> HttpStatusCode.Conflict
    else -> HttpStatusCode.ServiceUnavailable
}

private fun notRunDetail(reason: FailureReason): String = when (reason) {
    FailureReason.KEY_REUSED -> "The key belongs to another request; nothing of this one ran, and nothing will."
    else -> NOT_RUN_DETAIL
}

private fun retryAfterOf(reason: FailureReason): Duration? = when (reason) {
    FailureReason.SIDECAR_GONE,
    FailureReason.KEY_REUSED,
    FailureReason.KEY_SHARED,
    FailureReason.CALLER_GONE,
    -> null
    else -> DEFAULT_RETRY_AFTER
}

/** Delay before a retry when no better estimate is known. */
internal val DEFAULT_RETRY_AFTER = 1.seconds

private const val NOT_RUN_DETAIL = "The request was not answered; no stage of it ran, and none will."
private const val UNKNOWN_DETAIL =
    "The request was not answered, and it may have taken effect; sending it again may make it take effect twice."
private const val UNKNOWN_REPEATABLE_DETAIL =
    "The request was not answered, and it may have taken effect; sending it again unchanged does no harm."
private const val EARLIER_SUBMISSION =
    "this submission reached no endpoint, but an earlier one under the same key may have taken effect"
