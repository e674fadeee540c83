package org.bilberryhead.load

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main

/** Load and experiments, `bilberry-load`. */
class LoadCommand : CliktCommand("bilberry-load") {
    override fun run() = Unit
}

/** Runs the load tool. */
fun main(arguments: Array<String>) = LoadCommand().main(arguments)
