package org.bilberryhead.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import java.io.IOException

/** Exit status when the settings can not be used. */
const val EXIT_BAD_SETTINGS = 2

/** Exit status when an address can not be listened on, or another resource can not be had. */
const val EXIT_CANNOT_SERVE = 3

/** The command line that every daemon has: `--settings FILE [--check-settings]`. */
abstract class DaemonCommand<T : CheckedSettings>(name: String, private val serializer: KSerializer<T>) :
    CliktCommand(name) {
    private val settingsFile by option("--settings", help = "Settings file in YAML.").path().required()
    private val checkOnly by option("--check-settings", help = "Check the settings and stop.").flag()

    override fun run() {
        val settings = readSettings().getOrElse { exitOn(it) }
        val fileErrors = checkFiles(settings)
        if (fileErrors.isNotEmpty()) exitOn(fileErrors)
        if (checkOnly) {
            echo("settings: no fault found")
            return
        }
        disableServerShutdownHook()
        serveOrExit(settings)
    }

    /** Reads the settings file as it is now; returns every fault that was found. */
    protected fun readSettings(): Result<T, List<SettingsError>> = SettingsReader.read(settingsFile, serializer)

    private fun exitOn(errors: List<SettingsError>): Nothing {
        errors.forEach { echo("settings: $it", err = true) }
        throw ProgramResult(EXIT_BAD_SETTINGS)
    }

    /** Ends the process when the daemon can not start, whatever threads it has started by then. */
    private fun serveOrExit(settings: T) = try {
        runBlocking { serve(settings) }
    } catch (failure: IOException) {
        echo("settings: can not serve: ${failure.message}", err = true)
        // A plain exit would wait for the shutdown hook of a daemon that never began to serve.
        Runtime.getRuntime().halt(EXIT_CANNOT_SERVE)
    }

    /** Ktor would stop its servers as soon as the process is asked to end, with requests in flight. */
    private fun disableServerShutdownHook() {
        System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    }

    /** Reads the files that [settings] name and returns every fault of theirs. Called once, before [serve]. */
    protected open fun checkFiles(settings: T): List<SettingsError> = emptyList()

    /** Runs the daemon until it is told to stop. */
    abstract suspend fun serve(settings: T)
}
