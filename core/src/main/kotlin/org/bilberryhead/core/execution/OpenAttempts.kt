package org.bilberryhead.core.execution

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Query
import java.util.concurrent.ConcurrentHashMap

/** A [subscriber] that waits for messages about an attempt at one [incarnation] of a sidecar. */
data class OpenAttempt<S : Any>(
    val incarnation: Incarnation,
    val subscriber: S,
    internal val fingerprint: AttemptFingerprint,
)

/**
 * The requests of one process that wait for messages about attempts at one sidecar. A sidecar's message names an
 * attempt but no request, so an attempt id may stand for only one piece of work at a time. A request that uses an id
 * for different work, such as another client account's ticket, may not send messages for it: it can then neither
 * receive the response to the other request nor cancel that request.
 *
 * A message may arrive after its request has ended. The fingerprints of the latest attempts that other requests can
 * address, those of non-idempotent stages, are therefore remembered after their requests have ended.
 *
 * Thread-safe.
 *
 * @param maximumRemembered number of attempts whose fingerprints are remembered
 */
class OpenAttempts<S : Any>(private val maximumRemembered: Int = 1_024) {
    private val open = ConcurrentHashMap<AttemptId, Set<OpenAttempt<S>>>()
    private val remembered = LinkedHashMap<AttemptId, AttemptFingerprint>()

    /** Whether no request waits for an attempt. */
    val isEmpty: Boolean get() = open.isEmpty()

    /** Returns the subscribers that wait for messages about [attempt]. */
    operator fun get(attempt: AttemptId): Collection<OpenAttempt<S>> = open[attempt].orEmpty()

    /**
     * Registers [subscriber] for messages about the attempt if [message] is a dispatch or a query, and returns whether
     * the message may be sent. A dispatch or query may not be sent if its attempt id stands for different work. Any
     * other message may be sent only by a registered subscriber.
     */
    fun subscribeBeforeSend(message: AttemptMessage, incarnation: Incarnation, subscriber: S): Boolean {
        val fingerprint =
            fingerprintOf(message) ?: return open[message.attempt].orEmpty().any { it.subscriber == subscriber }
        if (isAddressableByOthers(message) && remember(message.attempt, fingerprint) != fingerprint) return false
        val registration = OpenAttempt(incarnation, subscriber, fingerprint)
        val waiting = open.compute(message.attempt) { _, others ->
            if (others.orEmpty().all { it.fingerprint == fingerprint }) others.orEmpty() + registration else others
        }
        return registration in waiting.orEmpty()
    }

    /** Ends the registration of [subscriber] for [attempt]. */
    fun unsubscribe(attempt: AttemptId, subscriber: S) {
        open.computeIfPresent(attempt) { _, all ->
            all.filterTo(mutableSetOf()) { it.subscriber != subscriber }.ifEmpty { null }
        }
    }

    /** Ends all registrations of [subscriber]. */
    fun unsubscribeAll(subscriber: S) = open.keys.forEach { unsubscribe(it, subscriber) }

    /** Calls [action] for each attempt and each of its subscribers. */
    fun forEach(action: (AttemptId, OpenAttempt<S>) -> Unit) =
        open.forEach { (attempt, all) -> all.forEach { action(attempt, it) } }

    /** Whether another request can send messages for the same attempt, as requests with the same ticket do. */
    private fun isAddressableByOthers(message: AttemptMessage): Boolean = message !is Dispatch || !message.idempotent

    /** Returns the fingerprint remembered for [attempt], which is [fingerprint] if there was none. */
    private fun remember(attempt: AttemptId, fingerprint: AttemptFingerprint): AttemptFingerprint =
        synchronized(remembered) {
            val known = remembered.getOrPut(attempt) { fingerprint }
            if (remembered.size > maximumRemembered) remembered.remove(remembered.keys.first())
            known
        }

    /** Returns the fingerprint of the work in [message]; null for messages that carry none. */
    private fun fingerprintOf(message: AttemptMessage): AttemptFingerprint? = when (message) {
        is Dispatch -> AttemptFingerprint(message.clientAccount, message.fingerprint)
        is Query -> AttemptFingerprint(message.clientAccount, message.fingerprint)
        else -> null
    }
}
