package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val seeds = 1..10

private fun singleBestWithoutFactor(load: SharedLoad) = seeds.map { seed ->
    SharedMachines(seed, withFactor = false) { candidates, loadOf, now ->
        candidates.minBy { loadOf(it).expectedResponseTime(now) }
    }.run(load)
}

private fun singleBestWithFactor(load: SharedLoad) = seeds.map { seed ->
    SharedMachines(seed, withFactor = true) { candidates, loadOf, now ->
        candidates.minBy { loadOf(it).expectedResponseTime(now) }
    }.run(load)
}

private fun twoRandom(load: SharedLoad) = seeds.map { seed ->
    val choice = EndpointChoice(Random(seed))
    SharedMachines(seed, withFactor = true) { candidates, loadOf, now -> choice.choose(candidates, loadOf, now) }
        .run(load)
}

private fun List<SharedResult>.inTime() = map { it.inTime }.average()

private fun List<SharedResult>.refused() = map { it.refused }.average()

class EndpointChoiceTest :
    DescribeSpec({
        val now = Instant.fromEpochSeconds(1_000)

        fun load(factor: Double?, responseTime: Duration? = null) = EndpointLoad(6, 50.milliseconds).apply {
            repeat(if (responseTime == null) 1 else 60) {
                recordReport(LoadReport(0, 0, 6, factor), now)
                if (responseTime == null) return@repeat
                recordStart(now - responseTime)
                recordEnd(ExchangeResult.SUCCEEDED, responseTime, now)
            }
        }

        describe("endpoints that report no work time factor") {
            it("are chosen as before, also when their times are close") {
                val loads =
                    listOf(load(null, 22.milliseconds), load(null, 20.milliseconds), load(null, 21.milliseconds))
                repeat(50) { EndpointChoice(Random(it)).choose(loads, { load -> load }, now) shouldBe loads[1] }
            }
        }

        describe("endpoints that report a work time factor") {
            it("are not all sent to the same endpoint by entries that read the same reports") {
                val loads = List(4) { load(if (it == 0) 0.9 else 1.0) }
                val chosen = (1..1_000).map { EndpointChoice(Random(it)).choose(loads, { load -> load }, now) }
                chosen.count { it == loads[0] } shouldBeLessThan 700
            }

            it("never lead to the slowest endpoint when there is another one") {
                val loads = listOf(load(6.0), load(1.0), load(1.0))
                val chosen = (1..200).map { EndpointChoice(Random(it)).choose(loads, { load -> load }, now) }
                chosen.count { it == loads[0] } shouldBe 0
            }
        }

        describe("the expected response time") {
            it("does not count a lasting slowness twice, nor a wrong factor at all") {
                val usual = load(1.0, 40.milliseconds).expectedResponseTime(now)
                val reported = load(20.0, 40.milliseconds)
                for (later in listOf(now, now + 1.seconds)) {
                    (reported.expectedResponseTime(later) / usual) shouldBeLessThan 1.01
                    (reported.expectedResponseTime(later) / usual) shouldBeGreaterThan 0.99
                }
            }

            it("follows the reported factor before any response time is known, and forgets it with time") {
                val slow = load(3.0)
                (slow.expectedResponseTime(now) / 50.milliseconds) shouldBeGreaterThan 1.9
                (slow.expectedResponseTime(now + 5.seconds) / 50.milliseconds) shouldBeLessThan 1.01
            }
        }

        describe("28 entries and 4 endpoints on shared machines") {
            val steady = SharedLoad(perSecond = 250.0)
            val waves = SharedLoad(perSecond = 250.0, wave = 3.0)
            val busy = SharedLoad(perSecond = 600.0)
            val slowMachine = SharedLoad(perSecond = 250.0, wave = 3.0, firstLevel = 2.7)
            for (load in listOf(steady, waves, busy, slowMachine)) {
                it("answer in time more often than with the single best endpoint, and refuse less: $load") {
                    val before = singleBestWithoutFactor(load)
                    val best = singleBestWithFactor(load)
                    val after = twoRandom(load)
                    after.inTime() - before.inTime() shouldBeGreaterThan 0.003
                    after.inTime() shouldBeGreaterThan best.inTime()
                    after.refused() shouldBeLessThan before.refused()
                    after.refused() shouldBeLessThan best.refused()
                    after.maxOf { it.largestShare } shouldBeLessThan 0.4
                }
            }
        }
    })
