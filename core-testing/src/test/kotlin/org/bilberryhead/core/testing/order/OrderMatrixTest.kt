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
        val strikes = mutableSetOf<Pair<OrderFault, EngineOrderState>>()
        val points = mutableSetOf<OrderPoint>()

        listOf(true, false).forEach { checks ->
            val engine = if (checks) "an engine that checks numbers" else "an engine that ignores numbers"
            describe("orders to $engine") {
                it("keep every promise under one fault at every point") {
                    val matrix = OrderMatrix(checks)
                    matrix.runSingles()
                    println(matrix.summary("engine orders, one fault, $engine"))
                    strikes += matrix.strikes
                    points += matrix.points
                    withClue(matrix.failures.take(SHOWN).joinToString("\n")) { matrix.failures.size shouldBe 0 }
                }
                it("keep every promise under two faults in a seeded sample") {
                    val matrix = OrderMatrix(checks)
                    matrix.runPairs(Random(PAIR_SEED), PAIRS)
                    println(matrix.summary("engine orders, pairs, $engine"))
                    withClue(matrix.failures.take(SHOWN).joinToString("\n")) { matrix.failures.size shouldBe 0 }
                }
            }
        }
        describe("the matrix") {
            it("strikes with every fault in every state in which a holder does anything, and at every point") {
                val idle = EngineOrderChart.chart.finalStates + EngineOrderChart.chart.initial
                (OrderPoint.entries - points).shouldBeEmpty()
                val active = EngineOrderState.entries - idle
                val wanted = OrderFault.entries.flatMap { fault -> active.map { fault to it } }
                (wanted - strikes).shouldBeEmpty()
            }
        }
    }) {
    private companion object {
        const val PAIR_SEED = 1
        const val PAIRS = 1_000
        const val SHOWN = 3
    }
}
