package org.bilberryhead.core.testing.model

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class FaultMatrixTest :
    DescribeSpec({
        describe("one fault") {
            val stepsReached = mutableSetOf<Step>()
            Scenario.entries.forEach { scenario ->
                it("violates no invariant at any step of $scenario") {
                    val matrix = FaultMatrix()
                    matrix.runSingleFaults(scenario)
                    println(matrix.summary("single faults, $scenario"))
                    stepsReached += matrix.stepsReached
                    withClue(matrix.report(REPORTED_FAILURES)) { matrix.failures.size shouldBe 0 }
                }
            }
            it("is injected at every step") {
                (Step.entries - stepsReached).shouldBeEmpty()
            }
        }
        describe("two faults") {
            Scenario.entries.forEach { scenario ->
                it("violate no invariant in a seeded sample of $scenario") {
                    val matrix = FaultMatrix()
                    matrix.runFaultPairs(scenario, Random(PAIR_SEED), PAIRS)
                    println(matrix.summary("pairs of faults, $scenario"))
                    withClue(matrix.report(REPORTED_FAILURES)) { matrix.failures.size shouldBe 0 }
                }
            }
        }
    }) {
    private companion object {
        const val PAIR_SEED = 1
        const val PAIRS = 1000
        const val REPORTED_FAILURES = 3
    }
}
