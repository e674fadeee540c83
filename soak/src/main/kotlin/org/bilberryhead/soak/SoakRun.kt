package org.bilberryhead.soak

import org.bilberryhead.core.testing.FreePorts
import org.bilberryhead.platform.testing.RowStore
import org.bilberryhead.platform.testing.RowStoreServer
import org.bilberryhead.platform.wire.SampleDeployment
import org.bilberryhead.platform.wire.SampleEndpoint
import java.net.Socket
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Result of one run.
 *
 * @property sent number of requests that callers sent
 * @property outcomes number of requests by kind and status
 * @property violations descriptions of the violated invariants
 * @property faults injected faults, each with the time since the start of the run
 */
data class SoakReport(
    val seed: Int,
    val sent: Int,
    val outcomes: Map<String, Int>,
    val violations: List<String>,
    val faults: List<String>,
) {
    /** Formats the report as text; lists the faults only if there are violations. */
    fun text(): String = buildString {
        appendLine("seed $seed: $sent requests, ${faults.size} faults, ${violations.size} violations")
        outcomes.forEach { (outcome, count) -> appendLine("  $count x $outcome") }
        violations.forEach { appendLine("  VIOLATED: $it") }
        if (violations.isNotEmpty()) faults.forEach { appendLine("  fault at $it") }
    }
}

/**
 * Runs entries as processes against a store and endpoints with injected faults, and checks the responses to callers.
 *
 * @param directory where settings and logs of the entries are written
 */
class SoakRun(private val seed: Int, private val entryCount: Int, private val directory: Path) {
    private val checker = InvariantChecker()
    private val startedAt = TimeSource.Monotonic.markNow()
    private val injectedFaults = mutableListOf<String>()

    /** Injects faults for [duration], checks that every entry recovers, and returns the result. */
    fun run(duration: Duration, progress: (String) -> Unit = {}): SoakReport {
        val endpoints = SampleDeployment.Pool.entries.flatMap { pool -> List(ENDPOINTS_PER_POOL) { pool to it } }
            .mapIndexed { index, (pool, number) ->
                pool to
                    StandInEndpoint("${pool.wireName}-$number", checker, seed + index)
            }
        val endpointLinks = endpoints.map { (_, endpoint) -> FaultProxy(endpoint.port) }
        val deployment = SampleDeployment(
            "soak",
            endpoints.mapIndexed { index, (pool, endpoint) ->
                SampleEndpoint(endpoint.id, pool.wireName, "127.0.0.1:${endpointLinks[index].port}")
            },
        )
        val store = RowStoreServer(RowStore(deployment.rows))
        val storeLink = FaultProxy(store.address.port)
        val ports = List(entryCount) {
            EntryProcess.Ports(FreePorts.next(), FreePorts.next(), FreePorts.next(), FreePorts.next())
        }
        val entries = ports.mapIndexed { number, entryPorts ->
            EntryProcess(number, entryPorts, directory, storeLink.port)
        }
        val targets = FaultTargets(entries, endpointLinks, storeLink, store)
        try {
            entries.forEach { it.start() }
            entries.forEach { it.awaitReady() }
            val callers = Callers(CALLER_COUNT, seed, entries.map { it.callerPort }, deployment, checker)
            runUnderFaults(targets, callers, duration, progress)
            endpoints.forEach { (_, endpoint) -> endpoint.injectsFaults = false }
            checkRecovery(entries, callers)
            checker.checkExecutions()
            return SoakReport(seed, callers.sentCount, checker.outcomeCounts, checker.violations, injectedFaults)
        } finally {
            entries.forEach { it.signal("KILL") }
            (endpoints.map { it.second } + endpointLinks + storeLink + store).forEach { it.close() }
        }
    }

    private fun runUnderFaults(
        targets: FaultTargets,
        callers: Callers,
        duration: Duration,
        progress: (String) -> Unit,
    ) {
        val faults = FaultInjector(targets, seed) {
            synchronized(injectedFaults) {
                injectedFaults +=
                    "${startedAt.elapsedNow()}: $it"
            }
        }
        callers.start()
        faults.start()
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < duration) {
            Thread.sleep(PROGRESS_INTERVAL_MS)
            progress(
                "${start.elapsedNow().inWholeSeconds} s: ${callers.sentCount} requests, ${injectedFaults.size} faults",
            )
        }
        faults.stop()
        callers.stop()
    }

    /** Checks that every entry serves every kind of request once all faults are reverted. */
    private fun checkRecovery(entries: List<EntryProcess>, callers: Callers) {
        entries.forEach { it.awaitReady() }
        for (entry in entries) {
            for (kind in RequestKind.entries) {
                val before = checker.outcomeCounts["$kind 200"] ?: 0
                Socket("127.0.0.1", entry.callerPort).use {
                    callers.sendRequest(it, kind, "recovery-${entry.callerPort}-$kind")
                }
                val after = checker.outcomeCounts["$kind 200"] ?: 0
                if (after ==
                    before
                ) {
                    checker.recordViolation(
                        "entry ${entry.callerPort} does not serve $kind after the faults were reverted",
                    )
                }
            }
        }
    }

    private companion object {
        const val ENDPOINTS_PER_POOL = 3
        const val CALLER_COUNT = 12
        const val PROGRESS_INTERVAL_MS = 1_000L
    }
}
