package org.bilberryhead.cli.commands

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import org.bilberryhead.cli.TableDiff
import org.bilberryhead.cli.file.FileProblem
import org.bilberryhead.cli.file.TablesFile
import org.bilberryhead.cli.file.TablesFileFormat
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables

private const val DEFAULT_HISTORY_LENGTH = 20

/** Groups the commands about tables. */
class TablesCommand : NoOpCliktCommand("tables") {
    override fun help(context: Context): String = "Show, check and change the routes and pools tables."
}

/** Prints the current tables in the format of a tables file. */
class ShowCommand : SessionCommand("show") {
    override fun help(context: Context): String = "Print the current tables."

    override fun run() {
        val tables = withClient { it.tables() }.orExit()
        printResult(Tables.serializer(), tables) {
            echo("# version ${tables.version}")
            echo(TablesFileFormat.write(TablesFile.of(tables)), trailingNewline = false)
        }
    }
}

/** Checks a tables file for errors, without calling an entry. */
class CheckCommand : SessionCommand("check") {
    private val file by argument("FILE").path(mustExist = true, canBeDir = false)

    override fun help(context: Context): String = "List every error in a tables file."

    override fun run() {
        val tables = readTables(file)
        printResult(ListSerializer(FileProblem.serializer()), emptyList()) {
            echo("$file: no error found in ${tables.routes.size} routes and ${tables.pools.size} pools")
        }
    }
}

/** Prints the difference from the current tables to a tables file. */
class DiffCommand : SessionCommand("diff") {
    private val file by argument("FILE").path(mustExist = true, canBeDir = false)

    override fun help(context: Context): String = "Show the difference from the current tables to a tables file."

    override fun run() {
        val desired = readTables(file)
        val current = withClient { it.tables() }.orExit()
        val lines = TableDiff.lines(TablesFile.of(current), desired)
        printResult(ListSerializer(String.serializer()), lines) {
            if (lines.isEmpty()) echo("no difference from version ${current.version}")
            lines.forEach { echo(it) }
        }
    }
}

/** Lists the newest changes. */
class HistoryCommand : SessionCommand("history") {
    private val limit by option("--limit", help = "Number of changes to list.").int().restrictTo(min = 1)
        .default(DEFAULT_HISTORY_LENGTH)

    override fun help(context: Context): String = "List the newest changes, newest first."

    override fun run() {
        val changes = withClient { it.history(limit) }.orExit()
        printResult(ListSerializer(TableChange.serializer()), changes) {
            if (changes.isEmpty()) echo("no change yet")
            changes.forEach { echo(describe(it)) }
        }
    }
}

/** Returns a one-line description of [change]. */
internal fun describe(change: TableChange): String {
    val rows = buildList {
        addAll(change.putRoutes.map { "put route ${it.kind}" })
        addAll(change.deleteRoutes.map { "delete route $it" })
        addAll(change.putPools.map { "put pool ${it.name}" })
        addAll(change.deletePools.map { "delete pool $it" })
    }
    val summary = if (change.summary.isBlank()) "" else " \"${change.summary}\""
    return "version ${change.version} by ${change.author.ifBlank { "you" }} at ${change.madeAt}, " +
        "change ${change.id}$summary: ${rows.joinToString()}"
}
