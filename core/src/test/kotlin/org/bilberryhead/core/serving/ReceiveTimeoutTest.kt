package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.PoolName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReceiveTimeoutTest :
    DescribeSpec({
        fun route(objective: Duration, gap: Duration? = 300.milliseconds) = ServingRoute(
            name = "stream",
            host = "h",
            prefix = "/stream/",
            pools = listOf(WeightedPool(PoolName("p"), 1.0)),
            repeatRule = RepeatRule.RESUMABLE_STREAM,
            timeout = 20.seconds,
            objective = objective,
            maximumAttempts = 2,
            priority = 0,
            maximumEventGap = gap,
        )

        describe("a stream that has begun") {
            for (objective in listOf(100.milliseconds, 1.seconds, 3.seconds)) {
                it("keeps an endpoint that pauses for a second, with an objective of $objective") {
                    ReceiveTimeout.betweenEvents(route(objective), remaining = 20.seconds) shouldBeGreaterThan
                        1.5.seconds
                }
            }

            it("leaves another endpoint half of the time that the caller waits") {
                ReceiveTimeout.betweenEvents(route(objective = 3.seconds), remaining = 20.seconds) shouldBe 6.seconds
            }

            it("is sent to another endpoint before its deadline") {
                ReceiveTimeout.betweenEvents(route(objective = 5.seconds), remaining = 5.seconds) shouldBeLessThan
                    5.seconds
            }

            it("keeps its endpoint when too little time is left for another one") {
                val remaining = 1.seconds
                ReceiveTimeout.betweenEvents(route(objective = 5.seconds), remaining) shouldBeGreaterThan remaining
            }
        }

        describe("a request without a response") {
            it("waits for the objective of its route where no better estimate is known") {
                ReceiveTimeout.beforeFirstEvent(route(objective = 2.seconds), expected = null) shouldBe 2.seconds
            }

            it("waits longer at an engine that is expected to take long") {
                ReceiveTimeout.beforeFirstEvent(route(objective = 2.seconds), expected = 1.seconds) shouldBe 4.seconds
                ReceiveTimeout.beforeFirstEvent(route(objective = 2.seconds), expected = 10.milliseconds) shouldBe
                    2.seconds
            }
        }
    })
