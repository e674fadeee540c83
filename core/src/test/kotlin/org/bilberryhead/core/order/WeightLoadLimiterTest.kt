package org.bilberryhead.core.order

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val start = Instant.fromEpochSeconds(1_800_000_000)
private const val SIDECARS = 400

class WeightLoadLimiterTest :
    DescribeSpec({
        describe("sidecars that receive a change at the same moment") {
            it("spread their loads over the interval, with at most twice the rate in any second") {
                val delays = List(SIDECARS) { seed ->
                    WeightLoadLimiter(loadsPerSecond = 10.0, Random(seed)).delayBeforeLoad(start, SIDECARS)
                }

                delays.all { it < 40.seconds } shouldBe true
                val perSecond = delays.groupingBy { it.inWholeSeconds }.eachCount()
                perSecond.keys.size shouldBe 40
                (perSecond.values.max() <= 20) shouldBe true
            }
        }
        describe("one sidecar") {
            it("keeps its slot until the load starts") {
                val limiter = WeightLoadLimiter(loadsPerSecond = 1.0, Random(1))
                val delay = limiter.delayBeforeLoad(start, sidecarCount = 10)

                limiter.delayBeforeLoad(start + delay - 1.milliseconds, sidecarCount = 10) shouldBe 1.milliseconds
                limiter.delayBeforeLoad(start + delay, sidecarCount = 10) shouldBe Duration.ZERO
            }
            it("starts no second load within the interval") {
                val limiter = WeightLoadLimiter(loadsPerSecond = 1.0, Random(1))
                limiter.recordLoadStarted(start, sidecarCount = 10)

                (limiter.delayBeforeLoad(start, sidecarCount = 10) >= 10.seconds) shouldBe true
            }
            it("gets a new random slot after its last one expired unused, so that loads stay spread after an outage") {
                val limiter = WeightLoadLimiter(loadsPerSecond = 0.01, Random(1))
                limiter.delayBeforeLoad(start, sidecarCount = 10)

                limiter.delayBeforeLoad(start + 2_000.seconds, sidecarCount = 10).isPositive() shouldBe true
            }
        }
    })
