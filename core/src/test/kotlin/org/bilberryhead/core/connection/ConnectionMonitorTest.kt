package org.bilberryhead.core.connection

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val openedAt = Instant.fromEpochSeconds(1_000)
private val idleInterval = 10.seconds

/** Simulates a connection whose other end responds to heartbeats until [silentFrom]; times count from the opening. */
private class SimulatedConnection(private val silentFrom: Duration = Duration.INFINITE, firstHeartbeat: Duration) {
    private val monitor = ConnectionMonitor(openedAt, openedAt + firstHeartbeat)
    private var now = openedAt
    private var lastReceivedAt = openedAt
    val heartbeats = mutableListOf<Duration>()
    var lostAt: Duration? = null

    /** Advances the time to [end]; a response is awaited during [awaited]. */
    fun runUntil(end: Duration, awaited: ClosedRange<Duration> = Duration.INFINITE..Duration.INFINITE) {
        while (lostAt == null && now - openedAt < end) {
            val step = monitor.step(now - openedAt in awaited, lastReceivedAt, idleInterval, now)
            when (step.action) {
                ConnectionAction.SEND_HEARTBEAT -> sendHeartbeat()
                ConnectionAction.CLOSE -> lostAt = now - openedAt
                null -> Unit
            }
            // The monitor also takes a step when a message is sent.
            val requestSentAt = (openedAt + awaited.start).takeIf { it > now }
            now = listOfNotNull(step.nextAt, requestSentAt).min()
        }
    }

    private fun sendHeartbeat() {
        heartbeats += now - openedAt
        if (now - openedAt < silentFrom) lastReceivedAt = now
    }
}

class ConnectionMonitorTest :
    DescribeSpec({
        it("reaches every state of its chart") {
            ConnectionChart.chart.reachableStates() shouldBe ConnectionPhase.entries.toSet()
        }

        describe("a connection on which no response is awaited") {
            it("sends one heartbeat per idle interval") {
                val connection = SimulatedConnection(firstHeartbeat = 3.seconds)

                connection.runUntil(40.seconds)

                connection.heartbeats shouldContainExactly listOf(3.seconds, 13.seconds, 23.seconds, 33.seconds)
                connection.lostAt shouldBe null
            }

            it("is closed when the receive timeout has passed after the first unanswered heartbeat") {
                val connection = SimulatedConnection(silentFrom = 4.seconds, firstHeartbeat = 3.seconds)

                connection.runUntil(40.seconds)

                connection.lostAt shouldBe 15.seconds
            }
        }

        describe("a connection on which a response is awaited") {
            it("sends frequent heartbeats until the response arrives, and is then idle again") {
                val connection = SimulatedConnection(firstHeartbeat = 9.seconds)

                connection.runUntil(8.seconds, awaited = 1.seconds..2.seconds)

                connection.heartbeats shouldContainExactly listOf(1_500.milliseconds, 2.seconds)
            }

            it("is closed when the receive timeout has passed since the request, however long it was idle") {
                val connection = SimulatedConnection(silentFrom = 1.seconds, firstHeartbeat = 9.seconds)

                connection.runUntil(40.seconds, awaited = 5.seconds..60.seconds)

                connection.lostAt shouldBe 7.seconds
            }
        }

        describe("the interval of idle heartbeats") {
            it("keeps the traffic of all connections within the budget, up to the longest interval") {
                checkAll(PropTestConfig(seed = 1), Arb.int(4..214)) { connections ->
                    val bytes = connections * HeartbeatBudget.BYTES_PER_EXCHANGE /
                        (HeartbeatBudget.idleInterval(connections) / 1.seconds)

                    bytes shouldBeLessThanOrEqualTo HeartbeatBudget.BYTES_PER_SECOND + 1.0
                }
            }

            it("does not become shorter as connections are added") {
                (1..500).zipWithNext { fewer, more ->
                    HeartbeatBudget.idleInterval(more) shouldBeGreaterThanOrEqualTo HeartbeatBudget.idleInterval(fewer)
                }
            }
        }
    })
