package org.bilberryhead.platform

import io.kotest.core.spec.style.DescribeSpec
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.withContext
import kotlin.random.Random

private const val SEEDS = 8
private const val PAIRS = 80
private val singleFaults = TableFault.entries.flatMap { fault -> ChangeStep.entries.map { InjectedFault(fault, it) } }

/** Runs [cells] on all cores, each in its own virtual time, and prints in how many all faults were injected. */
private suspend fun runAll(name: String, cells: List<TableCell>) = withContext(Dispatchers.Default) {
    val injected = cells.map { async { it.run() } }.awaitAll().count { it }
    println("table matrix, $name: ${cells.size} cells, all faults injected in $injected")
}

class TableChangeMatrixTest :
    DescribeSpec({
        describe("a table change with a fault at one step") {
            for (fault in TableFault.entries) {
                it("$fault") {
                    val candidates = singleFaults.filter { it.fault == fault }
                    runAll(
                        "$fault",
                        candidates.flatMap { candidate -> List(SEEDS) { seed -> TableCell(listOf(candidate), seed) } },
                    )
                }
            }
        }
        describe("a table change with two faults") {
            for (first in TableFault.entries) {
                it("first $first") {
                    val random = Random(first.ordinal)
                    val candidates = singleFaults.filter { it.fault == first }
                    val cells = List(PAIRS) { seed ->
                        TableCell(listOf(candidates.random(random), singleFaults.random(random)), seed)
                    }
                    runAll("$first with another", cells)
                }
            }
        }
    })
