package org.bilberryhead.cli.commands

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.fold
import org.bilberryhead.cli.ExitCode
import org.bilberryhead.cli.TableDiff
import org.bilberryhead.cli.client.ChangeSubmission
import org.bilberryhead.cli.client.OperatorClient
import org.bilberryhead.cli.file.TablesFile
import org.bilberryhead.cli.file.TablesFileFormat
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.operator.ChangeResponse
import java.io.IOException
import java.nio.file.Path
import java.util.UUID
import kotlin.io.path.createTempFile
import kotlin.io.path.deleteIfExists
import kotlin.io.path.writeText
import kotlin.time.Clock

/** A command that proposes a change. */
abstract class ChangeCommand(name: String, private val clock: Clock) : SessionCommand(name) {
    /** Whether to propose without a confirmation prompt. */
    protected val isConfirmed by option("--yes", help = "Do not ask before the change is sent.").flag()

    private val summary by option("--summary", help = "What the change is for, kept in the history.").default("")

    /** Prints the difference from [current] to [desired], asks for confirmation, proposes it and prints the outcome. */
    protected suspend fun propose(client: OperatorClient, current: Tables, desired: TablesFile) {
        val change = TableChange.between(
            from = current,
            routes = desired.toRoutes(),
            pools = desired.toPools(),
            id = ChangeId(UUID.randomUUID().toString()),
            author = "",
            madeAt = clock.now(),
            summary = summary,
        )
        if (change.isEmpty) {
            echo("no difference from version ${current.version}", err = session.output == OutputFormat.JSON)
            return
        }
        TableDiff.lines(TablesFile.of(current), desired).forEach { echo(it, err = session.output == OutputFormat.JSON) }
        if (!isConfirmed && !confirm("Apply to version ${current.version}?")) {
            echo("nothing was sent", err = true)
            exit(ExitCode.NOT_COMMITTED)
        }
        val response = ChangeSubmission(client, clock).submit(change) { reason ->
            echo("the outcome is unknown so far ($reason); querying the outcome of change ${change.id}", err = true)
        }.orExit()
        printResult(ChangeResponse.serializer(), response) { printResponse(change, response) }
        exit(exitCodeOf(response))
    }

    /** Prompts the operator with [question] and returns whether the input is `y` or `yes`. */
    protected fun confirm(question: String): Boolean {
        echo("$question [y/N] ", trailingNewline = false, err = true)
        return readlnOrNull().orEmpty().trim().lowercase() in setOf("y", "yes")
    }

    private fun printResponse(change: TableChange, response: ChangeResponse) = when (response) {
        is ChangeResponse.Accepted ->
            echo("accepted as version ${response.version}; other live processes that hold it: ${response.holders}")
        is ChangeResponse.LostRace -> {
            echo("another change was committed first; nothing was changed", err = true)
            echo("  yours:     ${describe(response.proposed)}", err = true)
            echo("  the other: ${response.winner?.let(::describe) ?: "not known"}", err = true)
        }
        is ChangeResponse.Invalid -> {
            echo("the tables would not be valid; nothing was changed", err = true)
            response.problems.forEach { echo("  $it", err = true) }
        }
        is ChangeResponse.NotCommitted ->
            echo("change ${change.id} was not committed and will not be: ${response.detail}", err = true)
        is ChangeResponse.Unknown -> echo(
            "change ${change.id} may be committed: ${response.detail}; look for its id in `bilberry tables history`",
            err = true,
        )
    }

    private fun exitCodeOf(response: ChangeResponse): ExitCode = when (response) {
        is ChangeResponse.Accepted -> ExitCode.DONE
        is ChangeResponse.LostRace -> ExitCode.LOST_RACE
        is ChangeResponse.Invalid -> ExitCode.INVALID_TABLES
        is ChangeResponse.NotCommitted -> ExitCode.NOT_COMMITTED
        is ChangeResponse.Unknown -> ExitCode.OUTCOME_UNKNOWN
    }
}

/** Proposes the tables of a file as the new tables. */
class ApplyCommand(clock: Clock) : ChangeCommand("apply", clock) {
    private val file by argument("FILE").path(mustExist = true, canBeDir = false)

    override fun help(context: Context): String = "Show the difference and apply the tables of a file."

    override fun run() {
        val desired = readTables(file)
        withClient { client -> propose(client, client.tables().orExit(), desired) }
    }
}

/** Opens the current tables in the operator's editor and proposes the result as the new tables. */
class EditCommand(clock: Clock) : ChangeCommand("edit", clock) {
    private val editor by option("--editor", envvar = "EDITOR", help = "Command of the editor.").default("vi")

    override fun help(context: Context): String = "Edit and apply the current tables in an editor."

    override fun run() = withClient { client ->
        val current = client.tables().orExit()
        val file = createTempFile("bilberry-tables-", ".yaml")
        try {
            file.writeText("# version ${current.version}\n" + TablesFileFormat.write(TablesFile.of(current)))
            propose(client, current, editUntilValid(file))
        } finally {
            file.deleteIfExists()
        }
    }

    private fun editUntilValid(file: Path): TablesFile {
        while (true) {
            openEditor(file)
            val tables = TablesFileFormat.read(contentOf(file)).fold(
                success = { it },
                failure = { problems ->
                    printProblems(file, problems)
                    null
                },
            )
            if (tables != null) return tables
            if (!confirm("Edit again?")) exit(ExitCode.INVALID_TABLES)
        }
    }

    private fun openEditor(file: Path) {
        val status = try {
            ProcessBuilder("sh", "-c", "$editor \"\$1\"", "sh", file.toString()).inheritIO().start().waitFor()
        } catch (failure: IOException) {
            echo("error: can not start the editor: ${failure.message}", err = true)
            exit(ExitCode.USAGE)
        }
        if (status != 0) {
            echo("error: the editor exited with status $status; nothing was sent", err = true)
            exit(ExitCode.USAGE)
        }
    }
}
