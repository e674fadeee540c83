package org.bilberryhead.core.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.routing.StageTimes
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class HedgePolicyTest :
    DescribeSpec({
        val times = StageTimes(mean = 400.milliseconds, p95 = 900.milliseconds, p99 = 1_500.milliseconds)

        fun isWorthwhile(predicted: Duration, elapsed: Duration, remaining: Duration = 2.seconds) =
            HedgePolicy.isWorthwhile(predicted, times, elapsed, remaining)

        describe("a hedge") {
            it("is not sent before the 99th percentile when a second attempt is predicted to be slower than the mean") {
                isWorthwhile(predicted = 500.milliseconds, elapsed = 900.milliseconds) shouldBe false
                isWorthwhile(predicted = 200.milliseconds, elapsed = 900.milliseconds) shouldBe true
            }

            it("is sent for an attempt beyond the 99th percentile when it can still end in time") {
                isWorthwhile(predicted = 500.milliseconds, elapsed = 1_500.milliseconds) shouldBe true
                isWorthwhile(predicted = 2_500.milliseconds, elapsed = 1_500.milliseconds) shouldBe false
            }
        }
    })
