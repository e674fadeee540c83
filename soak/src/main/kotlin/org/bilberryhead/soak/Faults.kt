package org.bilberryhead.soak

import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.random.Random

/** What faults can strike. */
internal class Targets(
    val entries: List<EntryProcess>,
    val links: List<FaultProxy>,
    val storeLink: FaultProxy,
    val store: StandInStore,
)

/** Strikes with faults in several series that overlap, each fault undone after a while. */
internal class Faults(private val targets: Targets, private val seed: Int, private val note: (String) -> Unit) {
    private val isOver = AtomicBoolean()
    private val threads = mutableListOf<Thread>()

    /** Begins all series. */
    fun start() {
        val strikes = listOf<(Random) -> Unit>(
            { random -> strikeEntry(targets.entries.random(random), random) },
            { random -> strikeLink(targets.links.random(random), random) },
            ::strikeStore,
        )
        strikes.forEachIndexed(::series)
    }

    /** Ends all series and waits until the last faults are undone. */
    fun stop() {
        isOver.set(true)
        threads.forEach { it.join() }
    }

    private fun series(number: Int, strike: (Random) -> Unit) {
        val random = Random(seed * SERIES + number)
        threads += thread(isDaemon = true) {
            while (!isOver.get()) {
                Thread.sleep(random.nextLong(SHORTEST_MS, LONGEST_MS))
                if (!isOver.get()) strike(random)
            }
        }
    }

    private fun strikeEntry(entry: EntryProcess, random: Random) {
        when (val choice = listOf("KILL", "TERM", "STOP", "HUP").random(random)) {
            "STOP" -> {
                note("entry ${entry.callerPort} stands still")
                entry.signal("STOP")
                Thread.sleep(random.nextLong(SHORTEST_MS, LONGEST_MS))
                entry.signal("CONT")
            }

            "HUP" -> entry.signal("HUP")
            else -> {
                note("entry ${entry.callerPort} gets $choice")
                entry.signal(choice)
                if (!entry.awaitEnd(GRACE_S)) entry.signal("KILL")
                entry.awaitEnd(GRACE_S)
                entry.start()
            }
        }
    }

    private fun strikeLink(link: FaultProxy, random: Random) {
        if (random.nextInt(WAYS) == 0) {
            note("connections of link ${link.port} are reset")
            return link.resetAll()
        }
        link.state = LinkState.entries.drop(1).random(random)
        note("link ${link.port} is ${link.state}")
        Thread.sleep(random.nextLong(SHORTEST_MS, LONGEST_MS))
        link.state = LinkState.OPEN
        // Bytes were lost: what is on these connections never fits together again.
        link.resetAll()
    }

    private fun strikeStore(random: Random) {
        if (random.nextBoolean()) return strikeLink(targets.storeLink, random)
        note("the store turns calls away")
        targets.store.isBusy = true
        Thread.sleep(random.nextLong(SHORTEST_MS, LONGEST_MS))
        targets.store.isBusy = false
    }

    private companion object {
        const val SERIES = 10
        const val WAYS = 4
        const val SHORTEST_MS = 200L
        const val LONGEST_MS = 2_000L
        const val GRACE_S = 8L
    }
}
