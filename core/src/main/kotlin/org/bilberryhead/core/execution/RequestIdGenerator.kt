package org.bilberryhead.core.execution

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.RequestId
import java.util.concurrent.atomic.AtomicLong

private const val NUMBER_SEPARATOR = '.'

/** Separates the request id from the rest of an attempt id. */
internal const val ATTEMPT_SEPARATOR = ':'

/**
 * Generates the request ids of one entry process. The ids increase, so that a sidecar needs to remember only one number
 * for all attempts of this process that it has forgotten. Thread-safe.
 *
 * @param prefix starts every id; unique for each process, and again after its restart, without a dot or a colon
 */
class RequestIdGenerator(private val prefix: String) {
    private val last = AtomicLong()

    /** Returns a new id. */
    fun next(): RequestId = RequestId("$prefix$NUMBER_SEPARATOR${last.incrementAndGet()}")
}

/** The origin of the request id within an attempt id: the prefix of the generator and the number that it assigned. */
internal data class RequestOrigin(val prefix: String, val number: Long) {
    companion object {
        fun of(attempt: AttemptId): RequestOrigin {
            val request = attempt.value.substringBefore(ATTEMPT_SEPARATOR)
            val number = request.substringAfterLast(NUMBER_SEPARATOR, "").toLongOrNull()
                ?: return RequestOrigin(attempt.value, 0)
            return RequestOrigin(request.substringBeforeLast(NUMBER_SEPARATOR), number)
        }
    }
}
