package org.bilberryhead.system

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Sends orders through both entries in turn, and finds out when an endpoint got the last of them. */
internal class OrderStream(private val system: TestSystem) {
    private class Sent(val at: TimeMark, val answer: CallerAnswer)

    private val sent = ConcurrentLinkedQueue<Sent>()
    private var count = 0

    /**
     * Sends orders before, during and after [event], until [AFTERWARDS] in a row have not run on [endpoint]. Every
     * order must be answered and run once. Prints and returns the time from [event]'s begin to the last sending of an
     * order that ran on [endpoint].
     */
    suspend fun timeUntilNoWork(endpoint: String, name: String, event: suspend () -> Unit): Duration {
        val sending = AtomicBoolean(true)
        val begun = coroutineScope {
            launch { while (sending.get()) sendOrder() }
            eventually(EVENT_LIMIT) { ranOn(endpoint).isNotEmpty() shouldBe true }
            val now = TimeSource.Monotonic.markNow()
            event()
            eventually(EVENT_LIMIT) { sinceLast(endpoint) shouldBe AFTERWARDS }
            sending.set(false)
            now
        }
        sent.filterNot { it.answer.isAnswered }.map { it.answer }.shouldBeEmpty()
        Judge.check(sent.map { it.answer }, system.effects(), listOf("record"), ONCE)
        val time = ranOn(endpoint).map { begun.elapsedNow() - it.at.elapsedNow() }.max()
        println("no new work, $name: last order on $endpoint was sent $time after the event, of ${sent.size} orders")
        return time
    }

    private suspend fun CoroutineScope.sendOrder() {
        val at = TimeSource.Monotonic.markNow()
        val entry = count++ % 2
        launch { sent += Sent(at, system.send(Kind.ORDER, entry)) }
        delay(INTERVAL)
    }

    private suspend fun ranOn(endpoint: String): List<Sent> {
        val requests = system.effects().filter { it.endpoint == endpoint }.map { it.request }.toSet()
        return sent.filter { it.answer.requestId in requests }
    }

    /** Number of orders sent after the last that ran on [endpoint], at most [AFTERWARDS]. */
    private suspend fun sinceLast(endpoint: String): Int {
        val last = ranOn(endpoint).minOfOrNull { it.at.elapsedNow() } ?: return 0
        return sent.count { it.at.elapsedNow() < last }.coerceAtMost(AFTERWARDS)
    }

    private companion object {
        val INTERVAL = 20.milliseconds
        const val AFTERWARDS = 100
    }
}
