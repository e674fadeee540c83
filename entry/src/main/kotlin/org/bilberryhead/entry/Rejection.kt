package org.bilberryhead.entry

import io.ktor.http.HttpStatusCode
import kotlin.time.Duration

/**
 * Why a request was turned away before anything of it was dispatched.
 *
 * @property provesNothingRan whether the reason also holds for every earlier submission of the same request, so that
 *   none of them can have taken effect
 */
enum class RejectionReason(val status: HttpStatusCode, val provesNothingRan: Boolean = false) {
    /** The bearer token is missing or unknown. */
    UNAUTHORIZED(HttpStatusCode.Unauthorized),

    /** No route answers the kind of request. */
    UNKNOWN_KIND(HttpStatusCode.NotFound),

    /** The entry has no tables yet. */
    NO_TABLES(HttpStatusCode.ServiceUnavailable),

    /** The deadline header can not be read or is out of range. */
    BAD_DEADLINE(HttpStatusCode.BadRequest),

    /** The body is larger than allowed. */
    BODY_TOO_LARGE(HttpStatusCode.PayloadTooLarge, provesNothingRan = true),

    /** The body is declared as something other than JSON. */
    UNSUPPORTED_MEDIA_TYPE(HttpStatusCode.UnsupportedMediaType),

    /** The body is not well-formed JSON. */
    MALFORMED_BODY(HttpStatusCode.BadRequest, provesNothingRan = true),

    /** The idempotency key can not be used as one. */
    BAD_KEY(HttpStatusCode.BadRequest),

    /** The key was used before with another kind or body. */
    KEY_REUSED(HttpStatusCode.UnprocessableEntity, provesNothingRan = true),

    /** The ticket names an endpoint that does not run the route. */
    TICKET_MISPLACED(HttpStatusCode.UnprocessableEntity),

    /** The route has no stage that needs a ticket. */
    TICKET_NOT_NEEDED(HttpStatusCode.UnprocessableEntity),

    /** The table service can not tell what stands under the key. */
    STORE_UNAVAILABLE(HttpStatusCode.ServiceUnavailable),

    /** No endpoint of the pool can take the request. */
    NO_ENDPOINT(HttpStatusCode.ServiceUnavailable),

    /** The entry is shutting down. */
    DRAINING(HttpStatusCode.ServiceUnavailable),
}

/**
 * A request that was turned away before anything of it was dispatched.
 *
 * @property detail for people: what is wrong, without any secret
 * @property retryAfter when coming back may help; null when it can not
 */
data class Rejection(val reason: RejectionReason, val detail: String, val retryAfter: Duration? = null)
