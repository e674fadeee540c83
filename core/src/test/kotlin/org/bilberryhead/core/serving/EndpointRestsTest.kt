package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.EndpointId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class EndpointRestsTest :
    DescribeSpec({
        val start = Instant.fromEpochSeconds(1_000)
        val first = EndpointRun(EndpointId("a"), startedAt = 1)
        val second = EndpointRun(EndpointId("b"), startedAt = 1)
        val slots = 4

        describe("an endpoint that asks for rest") {
            it("gets nothing until the end of the time, to a fraction of a second") {
                val rests = EndpointRests().apply { record(first, 1_500.milliseconds, start) }
                rests.isResting(first, start) shouldBe true
                rests.maximumInFlight(first, slots, start) shouldBe 0
                rests.isResting(first, start + 1_499.milliseconds) shouldBe true
                rests.maximumInFlight(first, slots, start + 1_499.milliseconds) shouldBe 0
                rests.isResting(first, start + 1_500.milliseconds) shouldBe false
            }

            it("gets its load back step by step, and without a limit in the end") {
                val rests = EndpointRests().apply { record(first, 1.seconds, start) }
                val limits = listOf(1_000, 1_200, 1_500, 2_000, 2_999, 3_000).map {
                    rests.maximumInFlight(first, slots, start + it.milliseconds)
                }
                limits shouldBe listOf(1, 1, 3, 5, 8, Int.MAX_VALUE)
            }

            it("rests until the latest end that it has named") {
                val rests = EndpointRests()
                rests.record(first, 4.seconds, start)
                rests.record(first, 1.seconds, start + 1.seconds)
                rests.isResting(first, start + 3.seconds) shouldBe true
                rests.record(first, 4.seconds, start + 3.seconds)
                rests.isResting(first, start + 6.seconds) shouldBe true
                rests.isResting(first, start + 7.seconds) shouldBe false
            }

            it("rests again, from its first request on, when it asks for that while its load returns") {
                val rests = EndpointRests()
                rests.record(first, 1.seconds, start)
                rests.record(first, 1.seconds, start + 2.seconds)
                rests.maximumInFlight(first, slots, start + 2_500.milliseconds) shouldBe 0
                rests.maximumInFlight(first, slots, start + 3.seconds) shouldBe 1
            }

            it("keeps no other endpoint, and no later run of itself, from being used") {
                val rests = EndpointRests().apply { record(first, 1.seconds, start) }
                rests.maximumInFlight(second, slots, start) shouldBe Int.MAX_VALUE
                rests.maximumInFlight(first.copy(startedAt = 2), slots, start) shouldBe Int.MAX_VALUE
            }

            it("is counted until it is back") {
                val rests = EndpointRests()
                rests.record(first, 1.seconds, start)
                rests.record(second, 2.seconds, start)
                listOf(0, 1, 2).map { rests.restingCount(start + it.seconds) } shouldBe listOf(2, 1, 0)
            }
        }

        describe("the endpoints of a pool") {
            it("are back with the first one that ends its rest") {
                val rests = EndpointRests()
                rests.record(first, 3.seconds, start)
                rests.record(second, 2.seconds, start)
                rests.timeUntilFirstReturn(listOf(first, second), start + 500.milliseconds) shouldBe 1_500.milliseconds
            }

            it("do not all rest while one of them does not, nor when there are none") {
                val rests = EndpointRests().apply { record(first, 3.seconds, start) }
                rests.timeUntilFirstReturn(listOf(first, second), start) shouldBe null
                rests.timeUntilFirstReturn(emptyList(), start) shouldBe null
            }
        }
    })
