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

class WeightLoadLimitTest :
    DescribeSpec({
        describe("sidecars that learn of a change at the same moment") {
            it("spread their loads over the interval, near the rate in each second") {
                val waits = List(SIDECARS) { seed ->
                    WeightLoadLimit(loadsPerSecond = 10.0, Random(seed)).waitBeforeLoad(start, SIDECARS)
                }

                waits.all { it < 40.seconds } shouldBe true
                val perSecond = waits.groupingBy { it.inWholeSeconds }.eachCount()
                perSecond.keys.size shouldBe 40
                (perSecond.values.max() <= 20) shouldBe true
            }
        }
        describe("one sidecar") {
            it("keeps its slot until it is used") {
                val limit = WeightLoadLimit(loadsPerSecond = 1.0, Random(1))
                val wait = limit.waitBeforeLoad(start, sidecars = 10)

                limit.waitBeforeLoad(start + wait - 1.milliseconds, sidecars = 10) shouldBe 1.milliseconds
                limit.waitBeforeLoad(start + wait, sidecars = 10) shouldBe Duration.ZERO
            }
            it("begins no second load within the interval") {
                val limit = WeightLoadLimit(loadsPerSecond = 1.0, Random(1))
                limit.begun(start, sidecars = 10)

                (limit.waitBeforeLoad(start, sidecars = 10) >= 10.seconds) shouldBe true
            }
            it("loses a slot that it did not use, so that an outage gathers no loads") {
                val limit = WeightLoadLimit(loadsPerSecond = 0.01, Random(1))
                limit.waitBeforeLoad(start, sidecars = 10)

                limit.waitBeforeLoad(start + 2_000.seconds, sidecars = 10).isPositive() shouldBe true
            }
        }
    })
