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

/** Exit status when the settings are invalid. */
const val EXIT_BAD_SETTINGS = 2

/** Exit status when the daemon cannot listen on an address or cannot acquire another resource. */
const val EXIT_CANNOT_SERVE = 3

/** Base class of the daemons' commands, with the options `--settings FILE [--check-settings]`. */
abstract class DaemonCommand<T : CheckedSettings>(name: String, private val serializer: KSerializer<T>) :
    CliktCommand(name) {
    private val settingsFile by option("--settings", help = "Settings file in YAML.").path().required()
    private val checkOnly by option("--check-settings", help = "Check the settings and stop.").flag()

    override fun run() {
        val settings = readSettings().getOrElse { exitWithErrors(it) }
        val fileErrors = checkFiles(settings)
        if (fileErrors.isNotEmpty()) exitWithErrors(fileErrors)
        if (checkOnly) {
            echo("settings: no errors found")
            return
        }
        disableServerShutdownHook()
        serveOrExit(settings)
    }

    /** Reads the settings file as it is now; returns the settings, or every error that was found. */
    protected fun readSettings(): Result<T, List<SettingsError>> = SettingsReader.read(settingsFile, serializer)

    private fun exitWithErrors(errors: List<SettingsError>): Nothing {
        errors.forEach { echo("settings: $it", err = true) }
        throw ProgramResult(EXIT_BAD_SETTINGS)
    }

    /** Ends the process if the daemon cannot start, even if it has already started threads. */
    private fun serveOrExit(settings: T) = try {
        runBlocking { serve(settings) }
    } catch (failure: IOException) {
        echo("settings: can not serve: ${failure.message}", err = true)
        // A normal exit would run the shutdown hook of TerminationSignal, which blocks until its timeout.
        Runtime.getRuntime().halt(EXIT_CANNOT_SERVE)
    }

    /** Ktor would otherwise stop its servers on SIGTERM while requests are still in flight. */
    private fun disableServerShutdownHook() {
        System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    }

    /** Reads the files that [settings] name and returns every error in them. Called once, before [serve]. */
    protected open fun checkFiles(settings: T): List<SettingsError> = emptyList()

    /** Runs the daemon and returns once it has stopped. Throws [IOException] if it cannot start. */
    abstract suspend fun serve(settings: T)
}
