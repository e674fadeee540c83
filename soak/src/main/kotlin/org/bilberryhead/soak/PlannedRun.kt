package org.bilberryhead.soak

import org.bilberryhead.core.testing.FreePorts
import org.bilberryhead.platform.testing.RowStore
import org.bilberryhead.platform.testing.RowStoreServer
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.WireTables
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Runs entries as processes with sound endpoints beside planned work only, and checks that every whole request gets a
 * whole response.
 *
 * @param directory where settings and logs of the entries are written
 */
class PlannedRun(private val seed: Int, private val entryCount: Int, private val directory: Path) {
    private val checker = InvariantChecker()
    private val startedAt = TimeSource.Monotonic.markNow()
    private val steps = mutableListOf<String>()

    /** Does planned work for [duration] and returns the result. */
    fun run(duration: Duration, progress: (String) -> Unit = {}): SoakReport {
        val rows = RowStore()
        val operator = OperatorChanges(rows, Random(seed + OPERATOR_STREAM))
        operator.write()
        val endpoints = startEndpoints(rows)
        val store = RowStoreServer(rows)
        val entries = List(entryCount) { number ->
            val ports = EntryProcess.Ports(FreePorts.next(), FreePorts.next(), FreePorts.next(), FreePorts.next())
            EntryProcess(number, ports, directory, store.address.port)
        }
        try {
            entries.forEach { it.start() }
            entries.forEach { it.awaitReady() }
            entries.forEach { it.isInRotation = true }
            val work = PlannedWork(entries, operator, checker, seed, ::record)
            val responseCheck = PlannedResponseCheck(checker)
            val callers = PlannedCallers(seed, work, operator, checker, responseCheck)
            callers.start()
            work.start()
            awaitEnd(duration, callers, progress)
            work.stop()
            callers.stop()
            checker.checkExecutions()
            responseCheck.checkClosedEarly()
            return SoakReport(seed, callers.sentCount, checker.outcomeCounts, checker.violations, steps)
        } finally {
            entries.forEach { it.signal("KILL") }
            (endpoints + store).forEach { it.close() }
        }
    }

    private fun startEndpoints(rows: RowStore): List<StandInEndpoint> =
        OperatorChanges.POOL_SIZES.flatMap { (pool, size) -> List(size) { pool to "$pool-$it" } }
            .mapIndexed { index, (pool, id) ->
                val endpoint = StandInEndpoint(id, checker, seed + index, isSound = true)
                val row = """{"service":"$pool","address":"127.0.0.1:${endpoint.port}","zone":"here","slots":4,""" +
                    """"state":"ready","sequence":1,"born":1}"""
                rows.put(RowKey(WireTables.ENDPOINTS, id), row)
                endpoint
            }

    private fun awaitEnd(duration: Duration, callers: PlannedCallers, progress: (String) -> Unit) {
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < duration) {
            Thread.sleep(PROGRESS_INTERVAL_MS)
            progress("${start.elapsedNow().inWholeSeconds} s: ${callers.sentCount} requests, ${steps.size} steps")
        }
    }

    private fun record(step: String) = synchronized(steps) { steps += "${startedAt.elapsedNow()}: $step" }

    private companion object {
        const val OPERATOR_STREAM = 73_000
        const val PROGRESS_INTERVAL_MS = 1_000L
    }
}
