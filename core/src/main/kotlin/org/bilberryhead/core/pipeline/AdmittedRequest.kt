package org.bilberryhead.core.pipeline

import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.message.AttemptLocation
import kotlin.time.Instant

/**
 * A request that an entry has admitted.
 *
 * @property deadline when the answer is of no more use
 * @property ticket where the first non-idempotent stage of a request with a key runs; null without a key
 */
data class AdmittedRequest(
    val id: RequestId,
    val clientAccount: ClientAccount,
    val payload: Payload,
    val deadline: Instant,
    val ticket: AttemptLocation? = null,
)
