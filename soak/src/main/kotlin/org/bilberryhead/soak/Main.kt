package org.bilberryhead.soak

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import java.nio.file.Path
import kotlin.time.Duration

/** What a run does beside the callers. */
internal enum class RunKind {
    /** Injects faults. */
    FAULTS,

    /** Does planned work only. */
    PLANNED,

    ;

    /** Chooses the kind of a run. */
    companion object {
        private const val PLANNED_EVERY = 3

        /** Returns the kind of the run with [seed]. */
        fun of(seed: Int): RunKind = if (seed % PLANNED_EVERY == 0) PLANNED else FAULTS
    }
}

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

    private val kind by option(
        "--kind",
        help = "Kind of all runs; without it, every third seed does planned work only.",
    ).enum<RunKind>()

    override fun run() {
        val failed = (seed until seed + runs).filterNot(::hasNoViolation)
        echo(if (failed.isEmpty()) "no violation" else "violations with seeds $failed, logs in $directory")
        if (failed.isNotEmpty()) throw ProgramResult(1)
    }

    private fun hasNoViolation(runSeed: Int): Boolean {
        val runDirectory = directory.resolve("seed-$runSeed")
        val length = Duration.parse(duration)
        val showProgress = { text: String -> echo("\rseed $runSeed, $text", trailingNewline = false, err = true) }
        val report = when (kind ?: RunKind.of(runSeed)) {
            RunKind.FAULTS -> SoakRun(runSeed, entries, runDirectory).run(length, showProgress)
            RunKind.PLANNED -> PlannedRun(runSeed, entries, runDirectory).run(length, showProgress)
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
