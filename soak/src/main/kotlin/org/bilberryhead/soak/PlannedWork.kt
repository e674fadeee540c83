package org.bilberryhead.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Does planned work: new configurations, SIGHUP, SIGTERM of one entry after the other with a start afterwards, and
 * returns of the store from a copy of its rows.
 *
 * @param record called with a description of each step
 */
internal class PlannedWork(
    private val entries: List<EntryProcess>,
    private val operator: OperatorChanges,
    private val checker: InvariantChecker,
    seed: Int,
    private val record: (String) -> Unit,
) {
    private val isStopped = AtomicBoolean()
    private val threads = mutableListOf<Thread>()
    private val signalRandom = Random(seed + SIGNAL_STREAM)
    private val pauseRandom = Random(seed + PAUSE_STREAM)
    private val restoreRandom = Random(seed + RESTORE_STREAM)
    private val terminations = ConcurrentHashMap<Int, TimeMark>()

    /** Starts the threads. */
    fun start() {
        repeatUntilStopped { changeConfiguration() }
        repeatUntilStopped { hangUp() }
        repeatUntilStopped { restoreStore() }
        threads += thread(isDaemon = true) { restartEntries() }
    }

    /** Stops the threads and waits until every entry is started again. */
    fun stop() {
        isStopped.set(true)
        threads.forEach { it.join() }
    }

    /** Time since the last SIGTERM of the entry at [port], or null before the first. */
    fun sinceTermination(port: Int): Duration? = terminations[port]?.elapsedNow()

    /** Ports of the entries that the platform sends new connections to. */
    fun portsInRotation(): List<Int> = entries.filter {
        val sinceTermination = sinceTermination(it.callerPort)
        it.isInRotation || (it.isAlive && sinceTermination != null && sinceTermination < ROTATION_DELAY)
    }.map { it.callerPort }

    private fun repeatUntilStopped(step: () -> Unit) {
        threads += thread(isDaemon = true) { while (!isStopped.get()) step() }
    }

    private fun changeConfiguration() {
        Thread.sleep(pauseRandom.nextLong(MIN_CHANGE_INTERVAL_MS, MAX_CHANGE_INTERVAL_MS))
        record(operator.change())
    }

    private fun restoreStore() {
        Thread.sleep(restoreRandom.nextLong(MIN_RESTORE_INTERVAL_MS, MAX_RESTORE_INTERVAL_MS))
        val copy = operator.copyStore()
        Thread.sleep(restoreRandom.nextLong(MIN_COPY_AGE_MS, MAX_COPY_AGE_MS))
        record(operator.restoreStore(copy))
    }

    private fun hangUp() {
        Thread.sleep(signalRandom.nextLong(MIN_SIGNAL_INTERVAL_MS, MAX_SIGNAL_INTERVAL_MS))
        // An entry that starts has no handler for the signal yet.
        val entry = entries.filter { it.isInRotation }.randomOrNull(signalRandom) ?: return
        record("entry ${entry.callerPort} receives SIGHUP")
        entry.signal("HUP")
    }

    private fun restartEntries() {
        var number = 0
        while (!isStopped.get()) {
            restart(entries[number % entries.size])
            number++
        }
    }

    private fun restart(entry: EntryProcess) {
        record("entry ${entry.callerPort} receives SIGTERM")
        terminations[entry.callerPort] = TimeSource.Monotonic.markNow()
        entry.isInRotation = false
        entry.signal("TERM")
        if (!entry.awaitExit(GRACE_S)) {
            checker.recordViolation("entry ${entry.callerPort} still runs $GRACE_S s after SIGTERM")
            entry.signal("KILL")
            entry.awaitExit(GRACE_S)
        }
        record("entry ${entry.callerPort} has ended and starts again")
        entry.start()
        entry.awaitReady()
        terminations -= entry.callerPort
        entry.isInRotation = true
    }

    private companion object {
        const val SIGNAL_STREAM = 71_000
        const val PAUSE_STREAM = 72_000
        const val RESTORE_STREAM = 74_000
        const val MIN_CHANGE_INTERVAL_MS = 50L
        const val MAX_CHANGE_INTERVAL_MS = 300L
        const val MIN_SIGNAL_INTERVAL_MS = 300L
        const val MAX_SIGNAL_INTERVAL_MS = 1_500L
        const val MIN_RESTORE_INTERVAL_MS = 1_000L
        const val MAX_RESTORE_INTERVAL_MS = 4_000L
        const val MIN_COPY_AGE_MS = 300L
        const val MAX_COPY_AGE_MS = 3_000L
        const val GRACE_S = 8L

        /** The platform takes an entry out after two misses of its check, which it makes once per second. */
        val ROTATION_DELAY = 2.seconds + 200.milliseconds
    }
}
