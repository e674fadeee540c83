package org.bilberryhead.load.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** The command `bilberry-load bench`: measures the costs of single operations on this machine. */
class BenchCommand : CliktCommand("bench") {
    override fun help(context: Context): String =
        "Measures the time of single operations and the memory per item of state, as a basis for docs/CAPACITY.md."

    override fun run() {
        echo("| what | at | cost |")
        echo("|---|---|---|")
        CoreBenchmarks().runAll().forEach { echo(it.row()) }
    }
}
