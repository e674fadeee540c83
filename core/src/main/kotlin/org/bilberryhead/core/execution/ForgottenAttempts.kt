package org.bilberryhead.core.execution

import org.bilberryhead.core.common.AttemptId

/**
 * A compact record of attempts that a ledger no longer remembers. It never misses one; it may take a new attempt for a
 * forgotten one, which is safe since the sender is then told that nobody knows whether the attempt ran.
 *
 * Request ids of one [RequestIdGenerator] rise, so one number for each mint covers all its forgotten attempts. Any other
 * request id counts as an origin of its own.
 *
 * Not safe for use by several threads.
 *
 * @param maximumOrigins number of origins on record; once reached, every attempt of another origin counts as forgotten
 */
internal class ForgottenAttempts(private val maximumOrigins: Int) {
    private val highest = HashMap<String, Long>()

    /** Records that [attempt] is forgotten. */
    fun add(attempt: AttemptId) {
        val origin = RequestOrigin.of(attempt)
        val known = highest[origin.mint]
        if (known == null && isFull()) return
        highest[origin.mint] = maxOf(known ?: origin.number, origin.number)
    }

    /** Returns false only when [attempt] was never added. */
    fun mayContain(attempt: AttemptId): Boolean {
        val origin = RequestOrigin.of(attempt)
        val known = highest[origin.mint] ?: return isFull()
        return origin.number <= known
    }

    private fun isFull(): Boolean = highest.size >= maximumOrigins
}
