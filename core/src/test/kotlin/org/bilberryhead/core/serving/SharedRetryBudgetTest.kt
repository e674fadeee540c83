package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.PoolName
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class SharedRetryBudgetTest :
    DescribeSpec({
        val start = Instant.fromEpochSeconds(1_000)
        val pool = PoolName("p")

        describe("one entry among five") {
            it("may retry a share of its own requests and its part of the slack, in any window") {
                val budget = SharedRetryBudget(RetryLimits(ratio = 0.2, slack = 50.0)) { 5 }
                repeat(100) { budget.countRequest(pool, start) }
                List(100) { budget.tryRetry(pool, start + 1.seconds) }.count { it } shouldBe 27
                budget.tryRetry(pool, start + 9.seconds) shouldBe false
                budget.tryRetry(pool, start + 12.seconds) shouldBe true
            }

            it("may retry only a share of its own requests while it has no part of the slack") {
                val budget = SharedRetryBudget(RetryLimits(ratio = 0.2, slack = 50.0)) { null }
                repeat(100) { budget.countRequest(pool, start) }
                List(100) { budget.tryRetry(pool, start + 1.seconds) }.count { it } shouldBe 18
            }

            it("takes no retry by asking whether one is left") {
                val budget = SharedRetryBudget(RetryLimits(ratio = 0.0, slack = 2.0)) { 1 }
                repeat(3) { budget.hasRetry(pool, start) shouldBe true }
                budget.tryRetry(pool, start) shouldBe true
                budget.hasRetry(pool, start) shouldBe false
                budget.tryRetry(pool, start) shouldBe false
            }

            it("does not use the budget of one pool for another") {
                val budget = SharedRetryBudget(RetryLimits(ratio = 0.2, slack = 0.0)) { 5 }
                repeat(100) { budget.countRequest(pool, start) }
                budget.tryRetry(PoolName("other"), start) shouldBe false
            }
        }

        describe("all entries together") {
            it("stay within the limit in every window when each tries to retry all the time") {
                val random = Random(7)
                val entries = List(5) { SharedRetryBudget(RetryLimits(ratio = 0.2, slack = 58.0)) { 5 } }
                val requests = mutableListOf<Instant>()
                val retries = mutableListOf<Instant>()
                for (step in 0 until 6_000) {
                    val now = start + (step * 10).milliseconds
                    val entry = entries[random.nextInt(entries.size)]
                    if (step / 1_000 % 2 == 0) {
                        entry.countRequest(pool, now)
                        requests += now
                    }
                    if (entry.tryRetry(pool, now)) retries += now
                }
                for (windowEnd in retries) {
                    val windowStart = windowEnd - 10.seconds
                    val sent = retries.count { it > windowStart && it <= windowEnd }
                    val requested = requests.count { it > windowStart && it <= windowEnd }
                    sent.toDouble() shouldBeLessThanOrEqualTo 0.2 * requested + 58
                }
            }
        }
    })
