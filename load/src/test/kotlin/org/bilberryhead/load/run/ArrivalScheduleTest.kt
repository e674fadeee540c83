package org.bilberryhead.load.run

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private fun plan(seed: Long = 1, bursts: List<Burst> = emptyList()) = LoadPlan(
    targets = listOf("a", "b"),
    ratePerSecond = 100.0,
    duration = 20.seconds,
    kinds = listOf(KindMix("order"), KindMix("plan", weight = 3.0)),
    accounts = listOf(AccountMix("town", "TOKEN")),
    bursts = bursts,
    seed = seed,
)

class ArrivalScheduleTest :
    DescribeSpec({
        describe("the arrivals of a plan") {
            it("are the same for the same seed and others for another") {
                val first = ArrivalSchedule(plan()).arrivals().toList()

                ArrivalSchedule(plan()).arrivals().toList() shouldBe first
                (ArrivalSchedule(plan(seed = 2)).arrivals().toList() == first) shouldBe false
            }

            it("follow the rate, the weights and the bursts") {
                val burst = Burst(at = 5.seconds, duration = 5.seconds, factor = 5.0)
                val arrivals = ArrivalSchedule(plan(bursts = listOf(burst))).arrivals().toList()

                arrivals.count { it.at < 5.seconds } shouldBeInRange 400..600
                arrivals.count { it.at >= 5.seconds && it.at < 10.seconds } shouldBeInRange 2_300..2_700
                arrivals.count { it.kind.kind == "plan" } * 4 shouldBeInRange
                    arrivals.size * 11 / 4..arrivals.size * 13 / 4
                arrivals.map { it.at } shouldBe arrivals.map { it.at }.sorted()
            }
        }
    })
