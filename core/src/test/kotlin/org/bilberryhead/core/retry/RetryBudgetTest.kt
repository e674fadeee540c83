package org.bilberryhead.core.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions

/** Operations on one budget that threads run concurrently. */
class ConcurrentRetryBudget {
    private val budget = RetryBudget(ratio = 0.5, burst = 2, reserve = 1)

    @Operation
    fun recordFirstAttempt() = budget.recordFirstAttempt()

    @Operation
    fun tryTake() = budget.tryTake()

    @Operation
    fun tryTakeHedge() = budget.tryTakeHedge()
}

class RetryBudgetTest :
    DescribeSpec({
        describe("a retry budget") {
            it("allows at most its ratio of extra attempts in addition to the initial burst") {
                val budget = RetryBudget(ratio = 0.09, burst = 10)
                var taken = 0
                repeat(1_000) {
                    budget.recordFirstAttempt()
                    if (budget.tryTake()) taken++
                }
                taken shouldBeLessThanOrEqual 100
            }

            it("keeps its reserve for retries when hedges use the rest") {
                val budget = RetryBudget(ratio = 0.09, burst = 4, reserve = 3)
                val hedges = List(4) { budget.tryTakeHedge() }
                val retries = List(4) { budget.tryTake() }
                hedges.count { it } shouldBe 1
                retries.count { it } shouldBe 3
            }

            it("is linearizable") {
                StressOptions().iterations(20).invocationsPerIteration(500).check(ConcurrentRetryBudget::class)
            }
        }
    })
