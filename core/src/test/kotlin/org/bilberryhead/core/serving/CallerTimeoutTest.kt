package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.PoolName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class CallerTimeoutTest :
    DescribeSpec({
        val receivedAt = Instant.fromEpochSeconds(1_000)
        val route = ServingRoute(
            name = "stream",
            host = "h",
            prefix = "/stream/",
            pools = listOf(WeightedPool(PoolName("p"), 1.0)),
            repeatRule = RepeatRule.RESUMABLE_STREAM,
            timeout = 20.seconds,
            objective = 1.seconds,
            maximumAttempts = 2,
            priority = 0,
            maximumEventGap = 300.milliseconds,
        )

        describe("the caller of a stream") {
            it("waits from the arrival of its request until the first event") {
                CallerTimeout.endsAt(route, receivedAt, lastEventAt = null) shouldBe receivedAt + 4.seconds
            }

            it("waits from the last event on, however old its request is") {
                CallerTimeout.endsAt(route, receivedAt, lastEventAt = receivedAt + 9.seconds) shouldBe
                    receivedAt + 13.seconds
            }
        }
    })
