package org.bilberryhead.soak

import org.bilberryhead.core.testing.FreePorts
import org.bilberryhead.platform.wire.SampleDeployment
import org.bilberryhead.platform.wire.SampleEndpoint
import java.net.Socket
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.TimeSource

/** What a run of the soak found. */
data class SoakReport(
    val seed: Int,
    val sent: Int,
    val ends: Map<String, Int>,
    val violations: List<String>,
    val faults: List<String>,
) {
    /** The report as a person reads it. */
    fun text(): String = buildString {
        appendLine("seed $seed: $sent requests, ${faults.size} faults, ${violations.size} violations")
        ends.forEach { (end, count) -> appendLine("  $count x $end") }
        violations.forEach { appendLine("  VIOLATED: $it") }
        if (violations.isNotEmpty()) faults.forEach { appendLine("  fault at $it") }
    }
}

/**
 * Runs entries as processes against a store and endpoints that misbehave, and checks what callers are told.
 *
 * @param directory where settings and logs of the entries are written
 */
class SoakRun(private val seed: Int, private val entryCount: Int, private val directory: Path) {
    private val judge = Judge()
    private val started = TimeSource.Monotonic.markNow()
    private val notes = mutableListOf<String>()

    /** Plays for [length], lets everything recover, and returns what was found. */
    fun play(length: Duration, progress: (String) -> Unit = {}): SoakReport {
        val endpoints = SampleDeployment.Pool.entries.flatMap { pool -> List(ENDPOINTS) { pool to it } }
            .mapIndexed { index, (pool, number) ->
                pool to
                    StandInEndpoint("${pool.wireName}-$number", judge, seed + index)
            }
        val links = endpoints.map { (_, endpoint) -> FaultProxy(endpoint.port) }
        val sample = SampleDeployment(
            "soak",
            endpoints.mapIndexed { index, (pool, endpoint) ->
                SampleEndpoint(endpoint.id, pool.wireName, "127.0.0.1:${links[index].port}")
            },
        )
        val store = StandInStore { sample }
        val storeLink = FaultProxy(store.port)
        val ports = List(entryCount) {
            EntryProcess.Ports(FreePorts.next(), FreePorts.next(), FreePorts.next(), FreePorts.next())
        }
        val entries = ports.mapIndexed { number, own -> EntryProcess(number, own, directory, storeLink.port) }
        val targets = Targets(entries, links, storeLink, store)
        try {
            entries.forEach { it.start() }
            awaitReady(entries)
            val callers = Callers(CALLERS, seed, entries.map { it.callerPort }, sample, judge)
            strike(targets, callers, length, progress)
            endpoints.forEach { (_, endpoint) -> endpoint.mayFail = false }
            checkRecovery(entries, callers)
            judge.close()
            return SoakReport(seed, callers.sentCount, judge.summary, judge.violations, notes)
        } finally {
            entries.forEach { it.signal("KILL") }
            (endpoints.map { it.second } + links + storeLink + store).forEach { it.close() }
        }
    }

    private fun strike(targets: Targets, callers: Callers, length: Duration, progress: (String) -> Unit) {
        val faults = Faults(targets, seed) { synchronized(notes) { notes += "${started.elapsedNow()}: $it" } }
        callers.start()
        faults.start()
        val begin = TimeSource.Monotonic.markNow()
        while (begin.elapsedNow() < length) {
            Thread.sleep(PROGRESS_MS)
            progress("${begin.elapsedNow().inWholeSeconds} s: ${callers.sentCount} requests, ${notes.size} faults")
        }
        faults.stop()
        callers.stop()
    }

    /** Once all faults are over, every entry serves every kind of request. */
    private fun checkRecovery(entries: List<EntryProcess>, callers: Callers) {
        awaitReady(entries)
        for (entry in entries) {
            for (kind in RequestKind.entries) {
                val before = judge.summary["$kind 200"] ?: 0
                Socket("127.0.0.1", entry.callerPort).use {
                    callers.request(it, kind, "recovery-${entry.callerPort}-$kind")
                }
                val after = judge.summary["$kind 200"] ?: 0
                if (after == before) judge.violated("entry ${entry.callerPort} does not serve $kind after the faults")
            }
        }
    }

    private fun awaitReady(entries: List<EntryProcess>) {
        val begin = TimeSource.Monotonic.markNow()
        while (!entries.all { it.isReady() }) {
            check(begin.elapsedNow() < READY_LIMIT) { "not all entries are ready after $READY_LIMIT" }
            Thread.sleep(READY_CHECK_MS)
        }
    }

    private companion object {
        const val ENDPOINTS = 3
        const val CALLERS = 12
        const val PROGRESS_MS = 1_000L
        const val READY_CHECK_MS = 100L
        val READY_LIMIT = Duration.parse("30s")
    }
}
