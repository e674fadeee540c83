package org.bilberryhead.forwarding.store

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.ForwardingMetrics
import org.bilberryhead.forwarding.http.ResponseCollector
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.ExchangeEnd
import org.bilberryhead.forwarding.http.OutboundConnection
import org.bilberryhead.forwarding.http.OutboundRequest
import org.bilberryhead.platform.wire.StoreCodec
import org.bilberryhead.platform.wire.StoreRow
import org.bilberryhead.platform.wire.StoreRows
import org.bilberryhead.platform.wire.WirePaths
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Hears what a table of the store holds. */
internal interface TableListener {
    /** All rows as of one moment. [afterOutage] when the store did not answer before. */
    fun replaced(rows: List<StoreRow>, afterOutage: Boolean)

    /** Rows that changed, in order. */
    fun changed(rows: List<StoreRow>)
}

/** How a table is followed. */
internal class WatchTimings(
    /** Longest time that the store holds a call which has nothing to tell. */
    val wait: Duration,
    /** Time between the end of a call and the next one. */
    val pause: Duration,
)

/**
 * Follows one table of the store: a full read, then its changes. After a silence, a refusal or lost history it reads
 * everything again.
 */
internal class StoreTableWatch(
    private val table: String,
    private val store: SocketAddress,
    private val timings: WatchTimings,
    private val thread: EventThread,
    private val connector: Connector,
    private val decisions: DecisionLog,
    private val metrics: ForwardingMetrics,
    private val random: Random,
    private val listener: TableListener,
) {
    private var connection: OutboundConnection? = null
    private var version: Long? = null
    private var failures = 0
    private val collected = mutableListOf<StoreRow>()

    /** When the store last answered; null before the first answer. */
    var freshAt: Instant? = null
        private set

    /** Whether the last call was answered. */
    val isAnswering: Boolean get() = failures == 0 && freshAt != null

    /** Begins to follow the table. */
    fun start() = next()

    private fun next() {
        val known = version
        if (known == null) read(from = null) else follow(known)
    }

    private fun read(from: String?): Unit = call(WirePaths.rows(table, from), READ_LIMIT) { rows ->
        if (from == null) collected.clear()
        collected += rows.rows
        if (rows.hasMore && rows.rows.isNotEmpty()) {
            // A key that follows the last one directly, in the order of bytes.
            read(from = rows.rows.last().key + "%00")
        } else {
            val afterOutage = failures > 0
            regained()
            version = rows.version
            listener.replaced(collected.toList(), afterOutage)
            thread.after(timings.pause) { next() }
        }
    }

    private fun follow(known: Long): Unit =
        call(WirePaths.feed(table, known, timings.wait.inWholeMilliseconds), timings.wait + READ_LIMIT) { rows ->
            regained()
            version = rows.version
            if (rows.rows.isNotEmpty()) listener.changed(rows.rows)
            thread.after(timings.pause) { next() }
        }

    private fun call(path: String, limit: Duration, taken: (StoreRows) -> Unit) {
        val open = connection
        if (open != null && open.isUsable(thread.now())) {
            exchange(open, path, limit, taken)
            return
        }
        open?.close()
        connector.open(
            store,
            opened = {
                connection = it
                exchange(it, path, limit, taken)
            },
            failed = { lost(it) },
        )
    }

    private fun exchange(open: OutboundConnection, path: String, limit: Duration, taken: (StoreRows) -> Unit) {
        var isOver = false
        val timer = thread.after(limit) {
            if (!isOver) {
                isOver = true
                open.close()
                lost("no answer within $limit")
            }
        }
        val headers = DefaultHttpHeaders().add("Host", store.toString())
        val collector = ResponseCollector { end ->
            if (!isOver) {
                isOver = true
                timer.cancel()
                take(end, taken)
            }
        }
        open.send(OutboundRequest(HttpMethod.GET, path, headers, NO_BODY), requestId = null, collector)
    }

    private fun take(end: ExchangeEnd, taken: (StoreRows) -> Unit) {
        when (end) {
            is ExchangeEnd.NotSent -> lost(end.reason)
            is ExchangeEnd.Unknown -> lost(end.reason)
            is ExchangeEnd.Answered -> when (end.response.head.status) {
                OK -> StoreCodec.decodeRows(end.response.text)?.let(taken) ?: lost("the answer can not be read")
                HISTORY_GONE -> historyGone()
                else -> lost("status ${end.response.head.status}")
            }
        }
    }

    private fun historyGone() {
        metrics.storeCall(table, "history_gone")
        decisions.write("store history gone") { mapOf("table" to table, "known_version" to version) }
        version = null
        next()
    }

    private fun regained() {
        metrics.storeCall(table, "answered")
        if (failures > 0 || freshAt == null) {
            decisions.write("store regained") {
                mapOf("table" to table, "failed_calls" to failures, "silent_ms" to silence()?.inWholeMilliseconds)
            }
        }
        failures = 0
        freshAt = thread.now()
    }

    private fun lost(reason: String) {
        metrics.storeCall(table, "failed")
        if (failures == 0) decisions.write("store lost") { mapOf("table" to table, "reason" to reason) }
        failures++
        version = null
        val backoff = (FIRST_BACKOFF * failures).coerceAtMost(LONGEST_BACKOFF)
        thread.after(backoff * (1 - JITTER * random.nextDouble())) { next() }
    }

    private fun silence(): Duration? = freshAt?.let { thread.now() - it }

    private companion object {
        const val OK = 200
        const val HISTORY_GONE = 410
        const val JITTER = 0.3
        val READ_LIMIT = 800.milliseconds
        val FIRST_BACKOFF = 150.milliseconds
        val LONGEST_BACKOFF = 1.seconds
        val NO_BODY = ByteArray(0)
    }
}
