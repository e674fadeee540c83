package org.bilberryhead.soak

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import java.nio.file.Path
import kotlin.time.Duration

/** The command `soak`: runs one or more seeds and exits with status 1 if an invariant was violated. */
class SoakCommand : CliktCommand("soak") {
    private val seed by option("--seed", help = "Seed of the first run.").int().default(1)
    private val runs by option("--runs", help = "How many seeds to run, one after the other.").int().default(1)
    private val duration by option("--for", help = "How long each run takes, such as 30s.").default("20s")
    private val entries by option(
        "--entries",
        help = "Number of entries.",
    ).int().default(DEFAULT_ENTRIES)
    private val directory by option(
        "--directory",
        help = "Directory for settings and logs of the entries.",
    ).path().default(Path.of("target/soak"))

    override fun run() {
        val failed = (seed until seed + runs).filterNot(::hasNoViolation)
        echo(if (failed.isEmpty()) "no violation" else "violations with seeds $failed, logs in $directory")
        if (failed.isNotEmpty()) throw ProgramResult(1)
    }

    private fun hasNoViolation(runSeed: Int): Boolean {
        val run = SoakRun(runSeed, entries, directory.resolve("seed-$runSeed"))
        val report = run.run(Duration.parse(duration)) {
            echo("\rseed $runSeed, $it", trailingNewline = false, err = true)
        }
        echo("", err = true)
        echo(report.text(), trailingNewline = false)
        return report.violations.isEmpty()
    }

    private companion object {
        const val DEFAULT_ENTRIES = 4
    }
}

/** Entry point of the command `soak`. */
fun main(arguments: Array<String>) = SoakCommand().main(arguments)
