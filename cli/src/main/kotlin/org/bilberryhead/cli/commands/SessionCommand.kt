package org.bilberryhead.cli.commands

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.requireObject
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.bilberryhead.cli.ExitCode
import org.bilberryhead.cli.client.CallError
import org.bilberryhead.cli.client.OperatorClient
import org.bilberryhead.cli.file.FileProblem
import org.bilberryhead.cli.file.TablesFile
import org.bilberryhead.cli.file.TablesFileFormat
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** A subcommand that uses the global options. */
abstract class SessionCommand(name: String) : CliktCommand(name) {
    private val json = Json {
        encodeDefaults = true
        prettyPrint = true
    }

    /** The session that the global options describe. */
    protected val session by requireObject<Session>()

    /** Runs [work] with a client of the entries. */
    protected fun <T> withClient(work: suspend (OperatorClient) -> T): T =
        session.connect().use { client -> runBlocking { work(client) } }

    /** Returns the value, or exits with the exit code of the error. */
    protected fun <T> Result<T, CallError>.orExit(): T = getOrElse { error ->
        echo("error: ${error.detail}", err = true)
        exit(exitCodeOf(error))
    }

    /** Prints [value] as JSON, or calls [printText] to print it as text, depending on the output format. */
    protected fun <T> printResult(serializer: KSerializer<T>, value: T, printText: () -> Unit) {
        when (session.output) {
            OutputFormat.JSON -> echo(json.encodeToString(serializer, value))
            OutputFormat.TEXT -> printText()
        }
    }

    /** Returns the tables in [file], or prints every error and exits. */
    protected fun readTables(file: Path): TablesFile = TablesFileFormat.read(contentOf(file))
        .onFailure { printProblems(file, it) }
        .getOrElse { exit(ExitCode.INVALID_TABLES) }

    /** Prints the errors in [file]. */
    protected fun printProblems(file: Path, problems: List<FileProblem>) {
        printResult(ListSerializer(FileProblem.serializer()), problems) {
            problems.forEach { echo("$file: $it", err = true) }
        }
    }

    /** Returns the text of [file], or prints an error and exits. */
    protected fun contentOf(file: Path): String = try {
        file.readText()
    } catch (failure: IOException) {
        echo("error: can not read $file: ${failure.message}", err = true)
        exit(ExitCode.USAGE)
    }

    /** Exits with [code]. */
    protected fun exit(code: ExitCode): Nothing = throw ProgramResult(code.code)

    private fun exitCodeOf(error: CallError): ExitCode = when (error) {
        is CallError.NoEntryReachable -> ExitCode.NO_ENTRY_REACHABLE
        is CallError.NotAuthorized -> ExitCode.NOT_AUTHORIZED
        is CallError.NotFound, is CallError.Rejected -> ExitCode.USAGE
        is CallError.ResponseLost -> ExitCode.OUTCOME_UNKNOWN
    }
}
