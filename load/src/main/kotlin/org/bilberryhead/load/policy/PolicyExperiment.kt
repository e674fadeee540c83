package org.bilberryhead.load.policy

import kotlinx.serialization.Serializable
import org.bilberryhead.core.tables.Objective
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** One line of a report: the mean of a contender over all seeds of one cell. */
@Serializable
data class ReportLine(
    val deployment: Deployment,
    val scenario: Scenario,
    val loadFactor: Double,
    val contender: String,
    val isBaseline: Boolean,
    val mean: RunResult,
)

/** Runs all contenders in all cells: combinations of deployment, scenario and load factor. */
class PolicyExperiment(
    private val deployments: List<Deployment>,
    private val scenarios: List<Scenario>,
    private val factors: List<Double>,
    private val seeds: IntRange,
    private val threads: Int,
) {
    private val contenders = Contender.BASELINES + listOf(
        Contender.predicted(ATTAINMENT_NAME, Objective.ATTAINMENT),
        Contender.predicted(COST_NAME, Objective.COST),
    )

    private data class Cell(
        val deployment: Deployment,
        val scenario: Scenario,
        val factor: Double,
        val contender: Contender,
    )

    /** Runs all cells and returns their lines; [progress] receives a message at regular intervals. */
    fun run(progress: (String) -> Unit): List<ReportLine> {
        val cells = cells()
        val executor = Executors.newFixedThreadPool(threads)
        try {
            val pending = cells.map { cell -> executor.submit(Callable { runCell(cell) }) }
            return pending.mapIndexed { index, future ->
                future.get().also { if (index % PROGRESS_INTERVAL == 0) progress("$index of ${cells.size} cells") }
            }
        } finally {
            executor.shutdownNow()
        }
    }

    private fun cells(): List<Cell> = deployments.flatMap { deployment ->
        scenarios.flatMap { scenario ->
            factors.flatMap { factor -> contenders.map { Cell(deployment, scenario, factor, it) } }
        }
    }

    private fun runCell(cell: Cell): ReportLine {
        val results = seeds.map { seed ->
            PolicyRun(RunPlan(cell.deployment, cell.scenario, cell.factor, seed), cell.contender).run()
        }
        val contender = cell.contender
        val mean = RunResult.mean(results)
        return ReportLine(cell.deployment, cell.scenario, cell.factor, contender.name, contender.isBaseline, mean)
    }

    companion object {
        /** Name of predicted completion on a route with the attainment objective. */
        const val ATTAINMENT_NAME = "predicted, attainment"

        /** Name of predicted completion on a route with the cost objective. */
        const val COST_NAME = "predicted, cost"

        /** Number of cells between two progress messages. */
        private const val PROGRESS_INTERVAL = 20
    }
}
