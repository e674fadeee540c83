package org.bilberryhead.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required

/** The operators' command, `bilberry`. */
class BilberryCommand : CliktCommand("bilberry") {
    override fun run() = Unit
}

/** Shows the tables in force. */
class ShowCommand : CliktCommand("show") {
    private val entry by option("--entry", help = "Address of an entry, such as http://127.0.0.1:8080.").required()

    override fun run() {
        echo("tables at $entry")
    }
}

/** Runs the operators' command. */
fun main(arguments: Array<String>) = BilberryCommand().subcommands(ShowCommand()).main(arguments)
