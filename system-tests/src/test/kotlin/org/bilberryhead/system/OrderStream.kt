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

/** Sends orders through both entries alternately, and measures when an endpoint received the last of them. */
internal class OrderStream(private val system: TestSystem) {
    private class SentOrder(val sentAt: TimeMark, val response: CallerResponse)

    private val sent = ConcurrentLinkedQueue<SentOrder>()
    private var count = 0

    /**
     * Sends orders before, during and after [event], until [ORDERS_AFTERWARDS] in a row did not run on [endpoint].
     * Every order must be answered and must run once. Prints and returns the time from the start of [event] until the
     * last order that ran on [endpoint] was sent.
     */
    suspend fun measureTimeUntilNoWork(endpoint: String, name: String, event: suspend () -> Unit): Duration {
        val sending = AtomicBoolean(true)
        val eventStart = coroutineScope {
            launch { while (sending.get()) sendOrder() }
            eventually(EVENT_TIMEOUT) { ranOn(endpoint).isNotEmpty() shouldBe true }
            val now = TimeSource.Monotonic.markNow()
            event()
            eventually(EVENT_TIMEOUT) { ordersSinceLast(endpoint) shouldBe ORDERS_AFTERWARDS }
            sending.set(false)
            now
        }
        sent.filterNot { it.response.isAnswered }.map { it.response }.shouldBeEmpty()
        InvariantChecker.check(sent.map { it.response }, system.effects(), listOf("record"), NON_IDEMPOTENT_STAGES)
        val time = ranOn(endpoint).map { eventStart.elapsedNow() - it.sentAt.elapsedNow() }.max()
        println("no new work, $name: last order on $endpoint was sent $time after the event, of ${sent.size} orders")
        return time
    }

    private suspend fun CoroutineScope.sendOrder() {
        val sentAt = TimeSource.Monotonic.markNow()
        val entry = count++ % 2
        launch { sent += SentOrder(sentAt, system.send(Kind.ORDER, entry)) }
        delay(INTERVAL)
    }

    private suspend fun ranOn(endpoint: String): List<SentOrder> {
        val requests = system.effects().filter { it.endpoint == endpoint }.map { it.request }.toSet()
        return sent.filter { it.response.requestId in requests }
    }

    /** Returns the number of orders sent after the last that ran on [endpoint], at most [ORDERS_AFTERWARDS]. */
    private suspend fun ordersSinceLast(endpoint: String): Int {
        val sinceLast = ranOn(endpoint).minOfOrNull { it.sentAt.elapsedNow() } ?: return 0
        return sent.count { it.sentAt.elapsedNow() < sinceLast }.coerceAtMost(ORDERS_AFTERWARDS)
    }

    private companion object {
        val INTERVAL = 20.milliseconds
        const val ORDERS_AFTERWARDS = 100
    }
}
