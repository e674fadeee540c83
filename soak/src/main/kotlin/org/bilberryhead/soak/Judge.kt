package org.bilberryhead.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Kinds of requests that callers send, each on a route of its own. */
internal enum class RequestKind(val path: String, val mayRepeat: Boolean, val isStream: Boolean) {
    LOOKUP("/plain/a", mayRepeat = true, isStream = false),
    ORDER("/order/a", mayRepeat = false, isStream = false),
    STAGED_STREAM("/stream/a", mayRepeat = false, isStream = true),
    RESUMABLE_STREAM("/resume/a", mayRepeat = true, isStream = true),
}

/** Compares what callers were told with what endpoints did. */
internal class Judge {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()
    private val toldNotRun = ConcurrentHashMap.newKeySet<String>()
    private val onceOnly = ConcurrentHashMap.newKeySet<String>()
    private val found = ConcurrentLinkedQueue<String>()
    private val statuses = ConcurrentHashMap<String, AtomicInteger>()

    /** What was found so far. */
    val violations: List<String> get() = found.toList()

    /** How often requests ended in which way. */
    val summary: Map<String, Int> get() = statuses.toSortedMap().mapValues { it.value.get() }

    /** An endpoint begins to work on the request [id]. */
    fun ran(id: String) {
        runs.getOrPut(id) { AtomicInteger() }.incrementAndGet()
    }

    /** A caller sends the request [id]. */
    fun sent(kind: RequestKind, id: String) {
        if (!kind.mayRepeat) onceOnly += id
    }

    /** A caller has the end of its request: a [status], or null when the connection ended without an answer. */
    fun ended(kind: RequestKind, id: String, status: Int?) {
        statuses.getOrPut("$kind ${status ?: "no answer"}") { AtomicInteger() }.incrementAndGet()
        if (status == NOT_RUN && !kind.mayRepeat) toldNotRun += id
    }

    /** Something that must not happen was seen. */
    fun violated(what: String) {
        found += what
    }

    /** Compares everything, once all requests have ended. */
    fun close() {
        for (id in onceOnly) {
            val count = runs[id]?.get() ?: 0
            if (count > 1) violated("$id ran $count times")
            if (count > 0 && id in toldNotRun) violated("$id ran, but its caller was told that it had not")
        }
    }

    private companion object {
        const val NOT_RUN = 503
    }
}
