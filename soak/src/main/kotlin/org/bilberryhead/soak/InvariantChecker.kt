package org.bilberryhead.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/**
 * Kinds of requests that callers send, each with its own route.
 *
 * @property mayRepeat whether a request of this kind may be executed more than once
 * @property isStream whether the response is a stream of events
 */
internal enum class RequestKind(val path: String, val mayRepeat: Boolean, val isStream: Boolean) {
    LOOKUP("/plain/a", mayRepeat = true, isStream = false),
    ORDER("/order/a", mayRepeat = false, isStream = false),
    STAGED_STREAM("/stream/a", mayRepeat = false, isStream = true),
    RESUMABLE_STREAM("/resume/a", mayRepeat = true, isStream = true),
}

/** Checks the responses that callers received against what endpoints executed. Safe for use by several threads. */
internal class InvariantChecker {
    private val executions = ConcurrentHashMap<String, AtomicInteger>()
    private val reportedNotRun = ConcurrentHashMap.newKeySet<String>()
    private val nonRepeatable = ConcurrentHashMap.newKeySet<String>()
    private val recordedViolations = ConcurrentLinkedQueue<String>()
    private val counts = ConcurrentHashMap<String, AtomicInteger>()

    /** Descriptions of the violations recorded so far. */
    val violations: List<String> get() = recordedViolations.toList()

    /** Number of requests by kind and status, such as `ORDER 200`. */
    val outcomeCounts: Map<String, Int> get() = counts.toSortedMap().mapValues { it.value.get() }

    /** Records that an endpoint started to execute the request [id]. */
    fun recordExecution(id: String) {
        executions.getOrPut(id) { AtomicInteger() }.incrementAndGet()
    }

    /** Whether an endpoint started to execute the request [id]. */
    fun wasExecuted(id: String): Boolean = executions.containsKey(id)

    /** Counts [outcome] of a request; it violates nothing. */
    fun count(outcome: String) {
        counts.getOrPut(outcome) { AtomicInteger() }.incrementAndGet()
    }

    /** Records that a caller sends the request [id]. */
    fun recordSent(kind: RequestKind, id: String) {
        if (!kind.mayRepeat) nonRepeatable += id
    }

    /** Records the [status] of the response, or null when the connection was closed without one. */
    fun recordOutcome(kind: RequestKind, id: String, status: Int?) {
        count("$kind ${status ?: "no answer"}")
        if (status == NOT_RUN_STATUS && !kind.mayRepeat) reportedNotRun += id
    }

    /** Records the violation of an invariant. */
    fun recordViolation(description: String) {
        recordedViolations += description
    }

    /**
     * Checks the executions of requests that must not repeat. Call it once all requests have ended, since an endpoint
     * may execute a request after its caller got a response.
     */
    fun checkExecutions() {
        for (id in nonRepeatable) {
            val count = executions[id]?.get() ?: 0
            if (count > 1) recordViolation("$id was executed $count times")
            if (count > 0 &&
                id in reportedNotRun
            ) {
                recordViolation("$id was executed, but its caller got a 503, which means not run")
            }
        }
    }

    private companion object {
        const val NOT_RUN_STATUS = 503
    }
}
