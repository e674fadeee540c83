package org.bilberryhead.core.execution

import org.bilberryhead.core.common.AttemptId

/**
 * A compact set of the attempts that a ledger no longer remembers. It has no false negatives. It may report a new
 * attempt as forgotten, which is safe: the attempt does not run, and its sender learns that its outcome is unknown.
 *
 * The request ids of one [RequestIdGenerator] increase, so the highest forgotten number of each generator covers all
 * its forgotten attempts. An attempt whose request id has another form is an origin of its own.
 *
 * Not thread-safe.
 *
 * @param maximumOrigins number of origins to store; once it is reached, every attempt of another origin counts as
 *   forgotten
 */
internal class ForgottenAttempts(private val maximumOrigins: Int) {
    private val highestNumbers = HashMap<String, Long>()

    /** Records that [attempt] is forgotten. */
    fun add(attempt: AttemptId) {
        val origin = RequestOrigin.of(attempt)
        val known = highestNumbers[origin.prefix]
        if (known == null && isFull()) return
        highestNumbers[origin.prefix] = maxOf(known ?: origin.number, origin.number)
    }

    /** Returns whether [attempt] may have been added; false is certain. */
    fun mayContain(attempt: AttemptId): Boolean {
        val origin = RequestOrigin.of(attempt)
        val known = highestNumbers[origin.prefix] ?: return isFull()
        return origin.number <= known
    }

    private fun isFull(): Boolean = highestNumbers.size >= maximumOrigins
}
