package org.bilberryhead.load.policy

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.Json
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

/** The command `bilberry-load policy`: compares policies in virtual time. */
class PolicyCommand : CliktCommand("policy") {
    override fun help(context: Context): String =
        "Runs the decisions of core in virtual time, side by side with simple baselines. The same options give the " +
            "same report."

    private val deployments by option("--deployment").enum<Deployment>().multiple(Deployment.entries)
    private val scenarios by option("--scenario").enum<Scenario>().multiple(Scenario.entries)
    private val factors by option("--factor", help = "offered load, as a share of the capacity of the pools").double()
        .multiple(listOf(0.5, 0.8, 0.95, 1.2, 2.0))
    private val seeds by option("--seeds", help = "number of runs of each cell").int().default(10)
    private val firstSeed by option("--first-seed", help = "seed of the first run of each cell").int().default(1)
    private val threads by option("--threads").int().default(2)
    private val directory: Path? by option(
        "--output",
        help = "directory for report.md, report.json and attainment.svg",
    ).path()

    override fun run() {
        val seedRange = firstSeed until firstSeed + seeds
        val report = PolicyExperiment(deployments, scenarios, factors, seedRange, threads).run { echo(it, err = true) }
        val text = PolicyReport(report).text() + TargetReport(TargetCheck(report).results()).text()
        echo(text)
        val target = directory ?: return
        target.createDirectories()
        target.resolve("report.md").writeText(text)
        target.resolve("report.json").writeText(Json.encodeToString(report))
        target.resolve("attainment.svg").writeText(AttainmentPlot(report).svg())
    }
}
