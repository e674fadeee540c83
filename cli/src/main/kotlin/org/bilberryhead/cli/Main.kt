package org.bilberryhead.cli

import com.github.ajalt.clikt.completion.CompletionCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import org.bilberryhead.cli.commands.ApplyCommand
import org.bilberryhead.cli.commands.BilberryCommand
import org.bilberryhead.cli.commands.CheckCommand
import org.bilberryhead.cli.commands.DiffCommand
import org.bilberryhead.cli.commands.EditCommand
import org.bilberryhead.cli.commands.ExplainCommand
import org.bilberryhead.cli.commands.HistoryCommand
import org.bilberryhead.cli.commands.ShowCommand
import org.bilberryhead.cli.commands.StatusCommand
import org.bilberryhead.cli.commands.TablesCommand
import kotlin.time.Clock

/** Returns the operators' command with all subcommands. */
internal fun bilberryCommand(clock: Clock = Clock.System): BilberryCommand = BilberryCommand().subcommands(
    TablesCommand().subcommands(
        ShowCommand(),
        CheckCommand(),
        ApplyCommand(clock),
        EditCommand(clock),
        HistoryCommand(),
        DiffCommand(),
    ),
    StatusCommand(),
    ExplainCommand(),
    CompletionCommand(name = "completion", help = "Print a completion script for bash, zsh or fish."),
)

/** Runs the operators' command. */
fun main(arguments: Array<String>) = bilberryCommand().main(arguments)
