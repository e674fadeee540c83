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
 * A message may also arrive after the request that it was for has ended. So what an attempt id stood for is remembered
 * for the latest attempts that another request can name, which are those of stages that are not idempotent.
 *
 * Safe for use by several threads.
 *
 * @param maximumRemembered attempts whose work is remembered after their requests have ended
 */
class OpenAttempts<S : Any>(private val maximumRemembered: Int = 1_024) {
    private val open = ConcurrentHashMap<AttemptId, Set<OpenAttempt<S>>>()
    private val remembered = LinkedHashMap<AttemptId, AttemptFingerprint>()

    /** Whether nobody waits. */
    val isEmpty: Boolean get() = open.isEmpty()

    /** Returns who waits for news of [attempt]. */
    operator fun get(attempt: AttemptId): Collection<OpenAttempt<S>> = open[attempt].orEmpty()

    /**
     * Returns whether [message] of [subscriber] may be sent, and lets the subscriber wait if so. A dispatch or query
     * that may not be sent names an attempt that stands for other work.
     */
    fun allowSend(message: AttemptMessage, incarnation: Incarnation, subscriber: S): Boolean {
        val fingerprint =
            fingerprintOf(message) ?: return open[message.attempt].orEmpty().any { it.subscriber == subscriber }
        if (isNameable(message) && remember(message.attempt, fingerprint) != fingerprint) return false
        val own = OpenAttempt(incarnation, subscriber, fingerprint)
        val waiting = open.compute(message.attempt) { _, others ->
            if (others.orEmpty().all { it.fingerprint == fingerprint }) others.orEmpty() + own else others
        }
        return own in waiting.orEmpty()
    }

    /** Lets [subscriber] no longer wait for news of [attempt]. */
    fun unsubscribe(attempt: AttemptId, subscriber: S) {
        open.computeIfPresent(attempt) { _, all ->
            all.filterTo(mutableSetOf()) { it.subscriber != subscriber }.ifEmpty { null }
        }
    }

    /** Lets [subscriber] no longer wait for anything. */
    fun unsubscribeAll(subscriber: S) = open.keys.forEach { unsubscribe(it, subscriber) }

    /** Calls [act] for each attempt and each that waits for it. */
    fun forEach(act: (AttemptId, OpenAttempt<S>) -> Unit) =
        open.forEach { (attempt, all) -> all.forEach { act(attempt, it) } }

    /** Whether another request can name the attempt of [message], as it can with a ticket. */
    private fun isNameable(message: AttemptMessage): Boolean = message !is Dispatch || !message.idempotent

    /** Returns what [attempt] stands for, which is [fingerprint] unless it is remembered for other work. */
    private fun remember(attempt: AttemptId, fingerprint: AttemptFingerprint): AttemptFingerprint =
        synchronized(remembered) {
            val known = remembered.getOrPut(attempt) { fingerprint }
            if (remembered.size > maximumRemembered) remembered.remove(remembered.keys.first())
            known
        }

    /** Returns what work [message] is about; null for messages that follow one that told. */
    private fun fingerprintOf(message: AttemptMessage): AttemptFingerprint? = when (message) {
        is Dispatch -> AttemptFingerprint(message.clientAccount, message.fingerprint)
        is Query -> AttemptFingerprint(message.clientAccount, message.fingerprint)
        else -> null
    }
}
