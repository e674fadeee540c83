package org.bilberryhead.entry

import io.ktor.http.HttpStatusCode
import kotlin.time.Duration

/**
 * Reason why a request was rejected before any part of it was dispatched.
 *
 * @property provesNothingRan whether the reason also holds for every earlier submission of the same request, so that
 *   none of them can have taken effect
 */
enum class RejectionReason(val status: HttpStatusCode, val provesNothingRan: Boolean = false) {
    /** The bearer token is missing or unknown. */
    UNAUTHORIZED(HttpStatusCode.Unauthorized),

    /** No route serves the kind of request. */
    UNKNOWN_KIND(HttpStatusCode.NotFound),

    /** The entry has no tables yet. */
    NO_TABLES(HttpStatusCode.ServiceUnavailable),

    /** The timeout header is malformed or out of range. */
    BAD_DEADLINE(HttpStatusCode.BadRequest),

    /** The body is larger than allowed. */
    BODY_TOO_LARGE(HttpStatusCode.PayloadTooLarge, provesNothingRan = true),

    /** The body is declared as something other than JSON. */
    UNSUPPORTED_MEDIA_TYPE(HttpStatusCode.UnsupportedMediaType),

    /** The body is not well-formed JSON. */
    MALFORMED_BODY(HttpStatusCode.BadRequest, provesNothingRan = true),

    /** The idempotency key is invalid. */
    BAD_KEY(HttpStatusCode.BadRequest),

    /** The key was used before with another kind or body. */
    KEY_REUSED(HttpStatusCode.UnprocessableEntity, provesNothingRan = true),

    /** The ticket names an endpoint that is not in the pool of the route. */
    TICKET_MISPLACED(HttpStatusCode.UnprocessableEntity),

    /** The route has no stage that needs a ticket. */
    TICKET_NOT_NEEDED(HttpStatusCode.UnprocessableEntity),

    /** The claim of the key could not be read from or written to the table service. */
    STORE_UNAVAILABLE(HttpStatusCode.ServiceUnavailable),

    /** No endpoint of the pool is available for the request. */
    NO_ENDPOINT(HttpStatusCode.ServiceUnavailable),

    /** The entry is shutting down. */
    DRAINING(HttpStatusCode.ServiceUnavailable),
}

/**
 * Rejection of a request before any part of it was dispatched.
 *
 * @property detail human-readable description, without secrets
 * @property retryAfter delay after which a retry may succeed; null when a retry cannot succeed
 */
data class Rejection(val reason: RejectionReason, val detail: String, val retryAfter: Duration? = null)
