package org.bilberryhead.load.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** The command `bilberry-load bench`: measures the costs of single operations on this machine. */
class BenchCommand : CliktCommand("bench") {
    override fun help(context: Context): String =
        "Measures single operations and the memory of single pieces of state, as a base for docs/CAPACITY.md."

    override fun run() {
        echo("| what | at | cost |")
        echo("|---|---|---|")
        CoreBenchmarks().all().forEach { echo(it.row()) }
    }
}
