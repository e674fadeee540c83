package org.bilberryhead.load

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import org.bilberryhead.load.bench.BenchCommand
import org.bilberryhead.load.policy.PolicyCommand
import org.bilberryhead.load.run.RunCommand

/** The command `bilberry-load`: load generation, policy experiments and benchmarks. */
class LoadCommand : CliktCommand("bilberry-load") {
    override fun run() = Unit
}

/** Entry point of the command `bilberry-load`. */
fun main(arguments: Array<String>) =
    LoadCommand().subcommands(RunCommand(), PolicyCommand(), BenchCommand()).main(arguments)
