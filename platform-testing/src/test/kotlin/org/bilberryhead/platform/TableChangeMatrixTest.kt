package org.bilberryhead.platform

import io.kotest.core.spec.style.DescribeSpec
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.withContext
import kotlin.random.Random

private const val SEEDS = 8
private const val PAIRS = 80
private val singles = TableFault.entries.flatMap { fault -> ChangeStep.entries.map { Hit(fault, it) } }

/** Runs [cells] on all cores, each in a virtual time of its own, and prints how many were struck by their faults. */
private suspend fun runAll(name: String, cells: List<TableCell>) = withContext(Dispatchers.Default) {
    val struck = cells.map { async { it.run() } }.awaitAll().count { it }
    println("table matrix, $name: ${cells.size} cells, all faults struck in $struck")
}

class TableChangeMatrixTest :
    DescribeSpec({
        describe("a change of the tables under a fault at a step") {
            for (fault in TableFault.entries) {
                it("$fault") {
                    val hits = singles.filter { it.fault == fault }
                    runAll("$fault", hits.flatMap { hit -> List(SEEDS) { seed -> TableCell(listOf(hit), seed) } })
                }
            }
        }
        describe("a change of the tables under two faults") {
            for (first in TableFault.entries) {
                it("first $first") {
                    val random = Random(first.ordinal)
                    val hits = singles.filter { it.fault == first }
                    val cells = List(PAIRS) { seed ->
                        TableCell(listOf(hits.random(random), singles.random(random)), seed)
                    }
                    runAll("$first with another", cells)
                }
            }
        }
    })
