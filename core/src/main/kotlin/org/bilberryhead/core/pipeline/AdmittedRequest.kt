package org.bilberryhead.core.pipeline

import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.message.AttemptLocation
import kotlin.time.Instant

/**
 * A request that an entry has admitted.
 *
 * @property deadline when the caller stops waiting for the response
 * @property ticket where the first non-idempotent stage of the request runs; null for a request without an
 *   idempotency key
 */
data class AdmittedRequest(
    val id: RequestId,
    val clientAccount: ClientAccount,
    val payload: Payload,
    val deadline: Instant,
    val ticket: AttemptLocation? = null,
)
