package org.bilberryhead.core.testing.order

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.order.EngineOrderChart
import org.bilberryhead.core.order.EngineOrderState
import kotlin.random.Random

class OrderMatrixTest :
    DescribeSpec({
        val injectedFaults = mutableSetOf<Pair<OrderFault, EngineOrderState>>()
        val reachedPoints = mutableSetOf<OrderPoint>()

        listOf(true, false).forEach { checksFencing ->
            val engine = if (checksFencing) "an engine that checks numbers" else "an engine that ignores numbers"
            describe("orders to $engine") {
                it("keep every invariant under one fault at every point") {
                    val matrix = OrderMatrix(checksFencing)
                    matrix.runSingleFaults()
                    println(matrix.summary("engine orders, one fault, $engine"))
                    injectedFaults += matrix.injectedFaults
                    reachedPoints += matrix.reachedPoints
                    withClue(matrix.failures.take(REPORTED_FAILURES).joinToString("\n")) {
                        matrix.failures.size shouldBe 0
                    }
                }
                it("keep every invariant under two faults in a seeded sample") {
                    val matrix = OrderMatrix(checksFencing)
                    matrix.runFaultPairs(Random(PAIR_SEED), PAIRS)
                    println(matrix.summary("engine orders, pairs, $engine"))
                    withClue(matrix.failures.take(REPORTED_FAILURES).joinToString("\n")) {
                        matrix.failures.size shouldBe 0
                    }
                }
            }
        }
        describe("the matrix") {
            it("injects every fault in every active state of a holder, and a fault at every point") {
                val idle = EngineOrderChart.chart.finalStates + EngineOrderChart.chart.initial
                (OrderPoint.entries - reachedPoints).shouldBeEmpty()
                val active = EngineOrderState.entries - idle
                val expected = OrderFault.entries.flatMap { fault -> active.map { fault to it } }
                (expected - injectedFaults).shouldBeEmpty()
            }
        }
    }) {
    private companion object {
        const val PAIR_SEED = 1
        const val PAIRS = 1_000
        const val REPORTED_FAILURES = 3
    }
}
