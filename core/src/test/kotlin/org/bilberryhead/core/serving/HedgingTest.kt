package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.serving.ResponseTimeWindow.Companion.MINIMUM_SAMPLES
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val start = Instant.fromEpochSeconds(1_000)
private val pool = PoolName("p")

/** A situation in which nothing stands against a hedge. */
private val hedgeable = HedgeSituation(remaining = 1.seconds)

/** Has response times of 1 to 100 ms and enough requests for three hedges, which is the most that is kept. */
private fun hedgingWithHistory() = Hedging(ratio = 0.1).apply {
    (1..100).forEach { recordResponseTime(pool, it.milliseconds, start) }
    repeat(100) { countRequest(pool) }
}

private infix fun Duration?.shouldBeAbout(expected: Duration) {
    checkNotNull(this)
    this shouldBeGreaterThanOrEqualTo expected * 0.98
    this shouldBeLessThanOrEqualTo expected * 1.02
}

class HedgingTest :
    DescribeSpec({
        describe("the delay of a hedge") {
            it("is the 95th percentile, so that requests of usual duration are not hedged") {
                hedgingWithHistory().delay(pool, start) shouldBeAbout 95.milliseconds
            }

            it("is unknown with too few response times, so that a new entry does not hedge at random") {
                val hedging = Hedging(ratio = 0.1)
                repeat(MINIMUM_SAMPLES - 1) { hedging.recordResponseTime(pool, 5.milliseconds, start) }
                hedging.delay(pool, start) shouldBe null
                hedging.obstacleTo(pool, hedgeable, start) shouldBe HedgeObstacle.FEW_SAMPLES
                hedging.recordResponseTime(pool, 5.milliseconds, start)
                hedging.delay(pool, start) shouldBeAbout 5.milliseconds
                hedging.delay(PoolName("other"), start) shouldBe null
            }

            it("follows the last minute, so that a past slowdown does not stop hedges") {
                val hedging = hedgingWithHistory()
                val later = start + 55.seconds
                repeat(MINIMUM_SAMPLES) { hedging.recordResponseTime(pool, 5.milliseconds, later) }
                hedging.delay(pool, later) shouldBeAbout 93.milliseconds
                hedging.delay(pool, start + 65.seconds) shouldBeAbout 5.milliseconds
                hedging.delay(pool, start + 3_600.seconds) shouldBe null
            }

            it("does not shrink when slow attempts are ended by their hedges") {
                val hedging = hedgingWithHistory()
                val now = start + 1.seconds
                repeat(95) { hedging.recordResponseTime(pool, (it + 1).milliseconds, now) }
                repeat(5) { hedging.recordUnanswered(pool, 97.milliseconds, now) }
                hedging.recordUnanswered(pool, 1.milliseconds, now)
                hedging.delay(pool, now) shouldBeAbout 95.milliseconds
            }
        }

        describe("a request that is slow") {
            it("is hedged when nothing stands against it") {
                hedgingWithHistory().obstacleTo(pool, hedgeable, start) shouldBe null
            }

            val obstacles = mapOf(
                hedgeable.copy(hasResponseBegun = true) to HedgeObstacle.RESPONSE_BEGUN,
                hedgeable.copy(isDraining = true) to HedgeObstacle.DRAINING,
                hedgeable.copy(doRequestsWait = true) to HedgeObstacle.REQUESTS_WAIT,
                hedgeable.copy(remaining = 40.milliseconds) to HedgeObstacle.SHORT_TIME,
                hedgeable.copy(hasEndpoint = false) to HedgeObstacle.NO_ENDPOINT,
                hedgeable.copy(isQuarantined = true) to HedgeObstacle.QUARANTINED,
                hedgeable.copy(hasRetry = false) to HedgeObstacle.NO_RETRY,
            )
            for ((situation, obstacle) in obstacles) {
                it("is not hedged because of $obstacle") {
                    hedgingWithHistory().obstacleTo(pool, situation, start) shouldBe obstacle
                }
            }
        }

        describe("an endpoint whose attempts are ended because hedges answered first") {
            it("is known as slow, so that it is not chosen again and again, and does not count as failed") {
                val load = EndpointLoad(slots = 4, expectedTime = 10.milliseconds)
                load.recordStart(start)
                load.recordEnd(ExchangeResult.OVERTAKEN, 200.milliseconds, start + 200.milliseconds)
                load.expectedResponseTime(start + 200.milliseconds) shouldBeAbout 38.5.milliseconds
                load.currentFailureRate(start + 200.milliseconds) shouldBe 0.0
            }

            it("is not taken for fast when it was ended early") {
                val load = EndpointLoad(slots = 4, expectedTime = 100.milliseconds)
                load.recordStart(start)
                load.recordEnd(ExchangeResult.OVERTAKEN, 5.milliseconds, start + 5.milliseconds)
                load.expectedResponseTime(start + 5.milliseconds) shouldBe 100.milliseconds
            }
        }

        describe("the limit of hedges") {
            it("is not reached by asking, and is reached by taking") {
                val hedging = hedgingWithHistory()
                repeat(20) { hedging.obstacleTo(pool, hedgeable, start) shouldBe null }
                List(20) { hedging.take(pool) }.count { it } shouldBe 3
                hedging.obstacleTo(pool, hedgeable, start) shouldBe HedgeObstacle.LIMIT
            }

            it("is kept by all entries together, though they get different numbers of requests") {
                val random = Random(11)
                val entries = List(28) { Hedging(ratio = 0.1) }
                var hedges = 0
                for (requests in 1..6_000) {
                    val entry = entries[minOf(random.nextInt(entries.size), random.nextInt(entries.size))]
                    entry.countRequest(pool)
                    if (entry.take(pool)) hedges++
                    hedges.toDouble() shouldBeLessThanOrEqualTo 0.1 * requests
                }
                hedges shouldBeGreaterThanOrEqualTo 500
            }

            it("lets an entry with few requests send a hedge, as most entries of a large deployment are") {
                val hedging = Hedging(ratio = 0.05)
                repeat(19) { hedging.countRequest(pool) }
                hedging.take(pool) shouldBe false
                repeat(2) { hedging.countRequest(pool) }
                hedging.take(pool) shouldBe true
                hedging.take(pool) shouldBe false
            }

            it("of 0 records nothing, also after a reload, so that old response times do not count later") {
                val hedging = hedgingWithHistory()
                hedging.ratio = 0.0
                repeat(100) { hedging.recordResponseTime(pool, 5.milliseconds, start) }
                hedging.delay(pool, start) shouldBe null
                hedging.take(pool) shouldBe false
                hedging.ratio = 0.1
                hedging.delay(pool, start) shouldBe null
            }
        }
    })
