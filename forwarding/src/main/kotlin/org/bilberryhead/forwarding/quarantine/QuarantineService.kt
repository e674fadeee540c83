package org.bilberryhead.forwarding.quarantine

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.quarantine.CrashId
import org.bilberryhead.core.quarantine.CrashReport
import org.bilberryhead.core.quarantine.PartQuarantine
import org.bilberryhead.core.quarantine.QuarantineLimits
import org.bilberryhead.core.quarantine.QuarantinedParts
import org.bilberryhead.core.serving.PromptPartId
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.ForwardingMetrics
import org.bilberryhead.forwarding.endpoint.Endpoint
import org.bilberryhead.forwarding.store.StoreWriter
import org.bilberryhead.forwarding.store.TableListener
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.RowTransaction
import org.bilberryhead.platform.wire.WireTables
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Refuses requests whose prompts have a part that crashes endpoints, by what all entries have seen. */
internal class QuarantineService(
    private val ownId: DaemonId,
    private val thread: EventThread,
    private val writer: StoreWriter,
    private val decisions: DecisionLog,
    private val metrics: ForwardingMetrics,
    private val random: Random,
) {
    /**
     * Why a request is refused.
     *
     * @property retryAfter time until the quarantine of the part ends
     */
    class Refusal(val reason: String, val retryAfter: Duration)

    private val limits = QuarantineLimits()
    private val quarantine = PartQuarantine(limits)
    private val detector = CrashDetector(thread, decisions, ::recordCrash)
    private val endedResponses = EndedResponses(thread, decisions, ::succeeded, ::attemptBroken)
    private val publisher = CrashReportPublisher(ownId, writer, thread, decisions) { quarantine.ownReports }
    private val tableListener = CrashTableListener(
        ownId,
        thread,
        decisions,
        ownRowsRead = { keys, reports ->
            record(reports, isOwn = true)
            publisher.allow(keys)
        },
        storeRestored = { keys, reports ->
            val isUnchanged = reports.toSet() == quarantine.ownReports.toSet()
            if (!isUnchanged) publisher.publishAgain(keys, REWRITE_SPREAD * random.nextDouble())
        },
        reportsRead = { record(it, isOwn = false) },
    )
    private var loggedParts = emptyList<QuarantinedParts>()
    private var loggedDroppedSuspects = 0L

    /** Receives the rows of the table of crash reports. */
    val reports: TableListener get() = tableListener

    /** Number of parts that are quarantined. */
    val quarantinedCount: Int get() = quarantine.quarantined.size

    /**
     * Starts to end quarantines and to remove rows that no entry changes any more.
     *
     * @param isRemover returns whether this entry is the one that removes rows of others
     */
    fun start(isRemover: () -> Boolean) {
        thread.every(EXPIRY_CHECK_INTERVAL) {
            if (quarantine.expire(thread.now())) publisher.publish(SLOW_DELAY)
            logChanges()
        }
        thread.every(REMOVAL_CHECK_INTERVAL) { if (isRemover()) removeUnchangedRows() }
    }

    /** Returns whether one of [parts] crashes endpoints, so that no prompt with it may be sent. */
    fun isQuarantined(parts: List<PromptPartId>): Boolean = quarantine.quarantineOf(parts) != null

    /** Returns why the request [id] with the shared [parts] is refused, or null when it may be sent. */
    fun refusalOf(id: String?, parts: List<PromptPartId>): Refusal? {
        val found = quarantine.quarantineOf(parts) ?: return null
        val remaining = (found.until - thread.now()).coerceAtLeast(SHORTEST_RETRY_AFTER)
        metrics.refusedByQuarantine()
        decisions.write("request refused") {
            mapOf("request" to id, "reason" to REASON, "until_ms" to remaining.inWholeMilliseconds) + fieldsOf(found)
        }
        return Refusal(REASON, remaining)
    }

    /** Records that an attempt with the shared [parts] failed at [endpoint], which was about to answer it. */
    fun attemptBroken(endpoint: Endpoint, parts: List<PromptPartId>) {
        if (parts.isNotEmpty()) detector.attemptBroken(endpoint, parts)
    }

    /** Records that a request with the shared [parts] was answered successfully. */
    fun succeeded(parts: List<PromptPartId>) {
        if (parts.isEmpty()) return
        // Several entries see successes of a part; the first that writes saves the others the write.
        if (quarantine.recordSuccess(parts, thread.now())) publisher.publish(SLOW_DELAY * random.nextDouble())
        logChanges()
    }

    /**
     * Records that a request with the shared [parts] was answered successfully by [endpoint], as far as can be told
     * from a response that ended with its connection.
     */
    fun ended(endpoint: Endpoint, parts: List<PromptPartId>) {
        if (parts.isNotEmpty()) endedResponses.add(endpoint, parts)
    }

    private fun recordCrash(crash: CrashId, parts: Set<PromptPartId>) {
        decisions.write("endpoint crashed") {
            mapOf("endpoint" to crash.endpoint, "suspects" to parts.size, "parts" to parts.take(LOGGED_ITEMS))
        }
        metrics.endpointCrashed()
        if (quarantine.record(CrashReport(crash, parts), thread.now(), isOwn = true)) publisher.publish(FAST_DELAY)
        logChanges()
    }

    private fun logDroppedSuspects() {
        val dropped = quarantine.droppedSuspects - loggedDroppedSuspects
        if (dropped == 0L) return
        loggedDroppedSuspects += dropped
        decisions.write("suspects left out") { mapOf("parts" to dropped, "reason" to "too many parts at one crash") }
    }

    private fun record(reports: List<CrashReport>, isOwn: Boolean) {
        reports.takeLast(MAXIMUM_REPORTS).forEach { quarantine.record(it, thread.now(), isOwn) }
        logChanges()
    }

    private fun logChanges() {
        logDroppedSuspects()
        val current = quarantine.quarantined
        if (current === loggedParts) return
        val currentParts = current.map { it.parts }
        val formerParts = loggedParts.map { it.parts }
        current.filter { it.parts !in formerParts }.forEach { decisions.write("part quarantined") { fieldsOf(it) } }
        loggedParts.filter { it.parts !in currentParts }.forEach { decisions.write("part cleared") { fieldsOf(it) } }
        loggedParts = current
    }

    private fun fieldsOf(quarantined: QuarantinedParts) = mapOf(
        "part" to quarantined.parts.joinToString("+"),
        "crashes" to quarantined.crashes.size,
        "endpoints" to quarantined.crashes.map { it.endpoint }.take(LOGGED_ITEMS),
    )

    private fun removeUnchangedRows() {
        // All entries have forgotten what such a row reports.
        for (row in tableListener.unchangedFor(limits.retention * 2).take(MAXIMUM_REMOVALS)) {
            val key = RowKey(WireTables.CRASHES, row.key)
            writer.write(RowTransaction(expected = mapOf(key to row.version), removals = listOf(key))) { status, _ ->
                decisions.write("old crash reports removed") { mapOf("row" to row.key, "status" to status) }
            }
        }
    }

    private companion object {
        const val REASON = "a part of the prompt crashes endpoints"
        const val LOGGED_ITEMS = 5

        /** Largest number of reports that are read from the rows of one entry. */
        const val MAXIMUM_REPORTS = 512

        /** Largest number of rows that are removed at one check. */
        const val MAXIMUM_REMOVALS = 20

        /** Time in which the reports on one crash are collected before they are written. */
        val FAST_DELAY = 100.milliseconds
        val SLOW_DELAY = 1.seconds

        /** Time over which hundreds of entries distribute their writes after the store has lost their reports. */
        val REWRITE_SPREAD = 4.seconds
        val EXPIRY_CHECK_INTERVAL = 1.seconds
        val REMOVAL_CHECK_INTERVAL = 60.seconds
        val SHORTEST_RETRY_AFTER = 100.milliseconds
    }
}
