package org.bilberryhead.core.execution

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.RequestId
import java.util.concurrent.atomic.AtomicLong

private const val NUMBER_SEPARATOR = '.'

/** Separates the request id from the rest of an attempt id. */
internal const val ATTEMPT_SEPARATOR = ':'

/**
 * Makes the request ids of one entry run. The ids rise, so that a sidecar remembers one number for all attempts of this
 * run that it has forgotten. Safe for use by several threads.
 *
 * @param run unique for each run of each entry, without a dot or a colon
 */
class RequestIdGenerator(private val run: String) {
    private val last = AtomicLong()

    /** Returns an id that was never returned before. */
    fun next(): RequestId = RequestId("$run$NUMBER_SEPARATOR${last.incrementAndGet()}")
}

/** Where the request id within an attempt id comes from: the mint's run and the number within it. */
internal data class RequestOrigin(val mint: String, val number: Long) {
    companion object {
        fun of(attempt: AttemptId): RequestOrigin {
            val request = attempt.value.substringBefore(ATTEMPT_SEPARATOR)
            val number = request.substringAfterLast(NUMBER_SEPARATOR, "").toLongOrNull()
                ?: return RequestOrigin(attempt.value, 0)
            return RequestOrigin(request.substringBeforeLast(NUMBER_SEPARATOR), number)
        }
    }
}
