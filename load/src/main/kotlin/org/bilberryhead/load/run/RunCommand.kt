package org.bilberryhead.load.run

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.bilberryhead.daemon.EXIT_BAD_SETTINGS
import org.bilberryhead.daemon.SettingsReader
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** The command `bilberry-load run`: open-loop load against real entries. */
class RunCommand : CliktCommand("run") {
    override fun help(context: Context): String =
        "Sends the requests of PLAN when they are due, whether or not earlier ones have been answered. " +
            "Latency counts from the time at which a request was due."

    private val planFile by argument("PLAN", help = "the plan, in YAML").path()
    private val directory: Path? by option(
        "--output",
        help = "directory for report.md, report.json and latency.svg",
    ).path()

    override fun run() {
        val plan = SettingsReader.read(planFile, LoadPlan.serializer()).getOrElse { errors ->
            errors.forEach { echo("settings: $it", err = true) }
            throw ProgramResult(EXIT_BAD_SETTINGS)
        }
        val tokens = plan.accounts.associate { it.name to System.getenv(it.tokenVariable).orEmpty() }
        val meter = LoadMeter()
        LoadCaller(tokens).use { caller -> runBlocking(Dispatchers.Default) { sendAll(plan, caller, meter) } }
        write(LoadReport(plan, meter.report()))
    }

    private suspend fun sendAll(plan: LoadPlan, caller: LoadCaller, meter: LoadMeter) {
        val start = TimeSource.Monotonic.markNow()
        val progress = CoroutineScope(Dispatchers.Default).launch { reportProgress(meter) }
        coroutineScope {
            for (arrival in ArrivalSchedule(plan).arrivals()) {
                delay(arrival.at - start.elapsedNow())
                launch {
                    val result = caller.send(arrival)
                    val latency = start.elapsedNow() - arrival.at
                    val isLate = result == CallerResult.ANSWERED && latency > plan.deadline
                    meter.record(arrival.kind.kind, if (isLate) CallerResult.LATE else result, latency)
                }
            }
        }
        progress.cancel()
    }

    private suspend fun reportProgress(meter: LoadMeter) {
        while (true) {
            delay(PROGRESS_INTERVAL)
            echo("load: ${meter.ended} requests have ended", err = true)
        }
    }

    private fun write(report: LoadReport) {
        echo(report.text())
        val target = directory ?: return
        target.createDirectories()
        target.resolve("report.md").writeText(report.text())
        target.resolve("report.json").writeText(Json.encodeToString(report))
        target.resolve("latency.svg").writeText(report.svg())
    }

    private companion object {
        val PROGRESS_INTERVAL = 5.seconds
    }
}
