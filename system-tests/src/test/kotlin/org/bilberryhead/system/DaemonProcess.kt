package org.bilberryhead.system

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.exists
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Signals that the tests send; the names are those of `kill`. */
internal enum class Signal { TERM, KILL, STOP, CONT }

/** One process of the system, started with the launcher scripts of the distribution. */
internal class DaemonProcess(private val folder: Path, private val name: String, private val program: String) {
    private var process: Process? = null

    /** Whether the process is running. */
    val isAlive: Boolean get() = process?.isAlive == true

    /** The log of the process. */
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

    /** Returns whether the process is running and the last lines of its log, for failure messages. */
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

    /** Waits until the process has exited and returns its exit status. */
    fun awaitExit(): Int {
        val exiting = checkNotNull(process)
        check(exiting.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) { "$name has not exited" }
        return exiting.exitValue()
    }

    /** Kills the process, even when it is stopped, and waits until it has exited. */
    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    private companion object {
        const val PROGRAMS = "../dist/target/bilberryhead/bin"
        const val EXIT_TIMEOUT_SECONDS = 90L
        const val REPORTED_LINES = 5
    }
}
