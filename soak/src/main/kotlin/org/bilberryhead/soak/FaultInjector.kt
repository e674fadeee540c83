package org.bilberryhead.soak

import org.bilberryhead.platform.testing.RowStoreServer
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Components that faults are injected into.
 *
 * @property endpointLinks proxies between the entries and the endpoints
 * @property storeLink proxy between the entries and the store
 */
internal class FaultTargets(
    val entries: List<EntryProcess>,
    val endpointLinks: List<FaultProxy>,
    val storeLink: FaultProxy,
    val store: RowStoreServer,
)

/**
 * Injects faults with one thread each for the entries, the links to the endpoints, and the store. Reverts each fault
 * after a random time.
 *
 * @param seed seed of the random choices of all threads
 * @param recordFault called with a description of each injected fault
 */
internal class FaultInjector(
    private val targets: FaultTargets,
    private val seed: Int,
    private val recordFault: (String) -> Unit,
) {
    private val isStopped = AtomicBoolean()
    private val threads = mutableListOf<Thread>()

    /** Starts the threads. */
    fun start() {
        val injections = listOf<(Random) -> Unit>(
            { random -> injectEntryFault(targets.entries.random(random), random) },
            { random -> injectLinkFault(targets.endpointLinks.random(random), random) },
            ::injectStoreFault,
        )
        injections.forEachIndexed(::startThread)
    }

    /** Stops the threads and waits until every fault is reverted. */
    fun stop() {
        isStopped.set(true)
        threads.forEach { it.join() }
    }

    private fun startThread(number: Int, inject: (Random) -> Unit) {
        val random = Random(seed * MAX_THREADS_PER_SEED + number)
        threads += thread(isDaemon = true) {
            while (!isStopped.get()) {
                Thread.sleep(random.nextLong(MIN_INTERVAL_MS, MAX_INTERVAL_MS))
                if (!isStopped.get()) inject(random)
            }
        }
    }

    private fun injectEntryFault(entry: EntryProcess, random: Random) {
        when (val signal = listOf("KILL", "TERM", "STOP", "HUP").random(random)) {
            "STOP" -> {
                recordFault("entry ${entry.callerPort} is paused with SIGSTOP")
                entry.signal("STOP")
                Thread.sleep(random.nextLong(MIN_INTERVAL_MS, MAX_INTERVAL_MS))
                entry.signal("CONT")
            }

            "HUP" -> entry.signal("HUP")
            else -> {
                recordFault("entry ${entry.callerPort} receives SIG$signal")
                entry.signal(signal)
                if (!entry.awaitExit(EXIT_TIMEOUT_S)) entry.signal("KILL")
                entry.awaitExit(EXIT_TIMEOUT_S)
                entry.start()
            }
        }
    }

    private fun injectLinkFault(link: FaultProxy, random: Random) {
        if (random.nextInt(LINK_FAULT_KINDS) == 0) {
            recordFault("connections of link ${link.port} are reset")
            return link.resetAll()
        }
        link.state = LinkState.entries.drop(1).random(random)
        recordFault("link ${link.port} is ${link.state}")
        Thread.sleep(random.nextLong(MIN_INTERVAL_MS, MAX_INTERVAL_MS))
        link.state = LinkState.OPEN
        // Bytes were dropped, so the remaining byte streams are corrupt and the connections unusable.
        link.resetAll()
    }

    private fun injectStoreFault(random: Random) = when (random.nextInt(STORE_FAULT_KINDS)) {
        0 -> injectLinkFault(targets.storeLink, random)
        1 -> restoreStore(random)
        else -> {
            recordFault("the store rejects all calls")
            targets.store.isUnavailable = true
            Thread.sleep(random.nextLong(MIN_INTERVAL_MS, MAX_INTERVAL_MS))
            targets.store.isUnavailable = false
        }
    }

    private fun restoreStore(random: Random) {
        val copy = targets.store.rows.copy()
        Thread.sleep(random.nextLong(MIN_INTERVAL_MS, MAX_INTERVAL_MS))
        recordFault("the store comes back from a copy")
        targets.store.rows.restore(copy)
    }

    private companion object {
        /** Keeps the random sequences of different seeds apart. */
        const val MAX_THREADS_PER_SEED = 10

        /** A reset, and each state of a link except `OPEN`. */
        const val LINK_FAULT_KINDS = 4

        /** A fault of the link, a copy, and rejected calls. */
        const val STORE_FAULT_KINDS = 3

        /** Bounds of the delay before a fault and of the time until it is reverted. */
        const val MIN_INTERVAL_MS = 200L
        const val MAX_INTERVAL_MS = 2_000L
        const val EXIT_TIMEOUT_S = 8L
    }
}
