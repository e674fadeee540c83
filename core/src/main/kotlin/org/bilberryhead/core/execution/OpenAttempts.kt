package org.bilberryhead.core.execution

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Query
import java.util.concurrent.ConcurrentHashMap

/** [subscriber] waits for news of an attempt at the run [incarnation] of a sidecar. */
data class OpenAttempt<S : Any>(
    val incarnation: Incarnation,
    val subscriber: S,
    internal val fingerprint: AttemptFingerprint,
)

/**
 * The requests of one process that wait for news of attempts at one sidecar. News names its attempt and no request, so
 * an attempt id stands for one work at a time: a request that uses the id for other work, such as a ticket under which
 * another client account's request runs, is not admitted, and so is neither told the other's answer nor able to end it.
 *
 * Safe for use by several threads.
 */
class OpenAttempts<S : Any> {
    private val open = ConcurrentHashMap<AttemptId, Set<OpenAttempt<S>>>()

    /** Whether nobody waits. */
    val isEmpty: Boolean get() = open.isEmpty()

    /** Returns who waits for news of [attempt]. */
    operator fun get(attempt: AttemptId): Collection<OpenAttempt<S>> = open[attempt].orEmpty()

    /** Returns whether [message] of [subscriber] may be sent, and lets the subscriber wait if so. */
    fun admit(message: AttemptMessage, incarnation: Incarnation, subscriber: S): Boolean {
        val fingerprint =
            fingerprintOf(message) ?: return open[message.attempt].orEmpty().any { it.subscriber == subscriber }
        val own = OpenAttempt(incarnation, subscriber, fingerprint)
        val waiting = open.compute(message.attempt) { _, others ->
            if (others.orEmpty().all { it.fingerprint == fingerprint }) others.orEmpty() + own else others
        }
        return own in waiting.orEmpty()
    }

    /** Lets [subscriber] no longer wait for news of [attempt]. */
    fun forget(attempt: AttemptId, subscriber: S) {
        open.computeIfPresent(attempt) { _, all ->
            all.filterTo(mutableSetOf()) { it.subscriber != subscriber }.ifEmpty { null }
        }
    }

    /** Lets [subscriber] no longer wait for anything. */
    fun forgetAll(subscriber: S) = open.keys.forEach { forget(it, subscriber) }

    /** Calls [act] for each attempt and each that waits for it. */
    fun forEach(act: (AttemptId, OpenAttempt<S>) -> Unit) =
        open.forEach { (attempt, all) -> all.forEach { act(attempt, it) } }

    /** Returns what work [message] is about; null for messages that follow one that told. */
    private fun fingerprintOf(message: AttemptMessage): AttemptFingerprint? = when (message) {
        is Dispatch -> AttemptFingerprint(message.clientAccount, message.fingerprint)
        is Query -> AttemptFingerprint(message.clientAccount, message.fingerprint)
        else -> null
    }
}
