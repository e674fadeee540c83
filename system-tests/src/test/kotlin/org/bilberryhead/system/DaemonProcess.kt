package org.bilberryhead.system

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.exists
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Signals that the tests send. */
internal enum class Signal { TERM, KILL, STOP, CONT }

/** One process of the system, started from the launchers that are shipped. */
internal class DaemonProcess(private val folder: Path, private val name: String, private val program: String) {
    private var process: Process? = null

    /** Whether the process runs. */
    val isAlive: Boolean get() = process?.isAlive == true

    /** What the process has logged. */
    val log: String get() = folder.resolve("$name.log").readText()

    /** Starts the process with [settings], in YAML. */
    fun start(settings: String) {
        val file = folder.resolve("$name.yaml")
        file.writeText(settings)
        process = ProcessBuilder("$PROGRAMS/$program", "--settings", file.toString())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("$name.log").toFile()))
            .start()
    }

    /** Returns whether the process runs and the last lines of its log, for the message of a failed test. */
    fun report(): String {
        val log = folder.resolve("$name.log")
        val lines = if (log.exists()) log.readLines().takeLast(REPORTED_LINES) else emptyList()
        return (listOf("$name: ${if (isAlive) "running" else "not running"}") + lines).joinToString("\n  ")
    }

    /** Sends [signal] to the process. */
    fun signal(signal: Signal) {
        val pid = checkNotNull(process) { "$name was never started" }.pid()
        ProcessBuilder("kill", "-${signal.name}", pid.toString()).inheritIO().start().waitFor()
    }

    /** Waits until the process has ended and returns its status. */
    fun awaitEnd(): Int {
        val ending = checkNotNull(process)
        check(ending.waitFor(END_LIMIT_SECONDS, TimeUnit.SECONDS)) { "$name has not ended" }
        return ending.exitValue()
    }

    /** Kills the process and waits until it is gone; a stopped one too. */
    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    private companion object {
        const val PROGRAMS = "../dist/target/bilberryhead/bin"
        const val END_LIMIT_SECONDS = 90L
        const val REPORTED_LINES = 5
    }
}
