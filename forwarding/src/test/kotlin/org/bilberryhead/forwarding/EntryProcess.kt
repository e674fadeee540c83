package org.bilberryhead.forwarding

import kotlinx.serialization.json.Json
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import java.io.IOException
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.io.path.createTempFile
import kotlin.io.path.deleteIfExists
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** The program as a process of its own. Signals go only to this process, by its process ID. */
internal class EntryProcess(private val settings: ForwardingSettings) : AutoCloseable {
    private val settingsFile = createTempFile("entry", ".json").apply {
        writeText(Json.encodeToString(ForwardingSettings.serializer(), settings))
    }
    private val logFile = createTempFile("entry", ".log")
    private val process = ProcessBuilder(
        "${System.getProperty("java.home")}/bin/java", "-Xmx96m", "-Xss256k", "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
        "org.bilberryhead.forwarding.MainKt", "--settings", settingsFile.toString(),
    ).redirectErrorStream(true).redirectOutput(logFile.toFile()).start()

    /** The log that the process has written so far. */
    val log: String get() = logFile.readText()

    /** Whether the process is running. */
    val isAlive: Boolean get() = process.isAlive

    /** Waits until the entry is ready for callers. */
    fun awaitReady() {
        val isReady = generateSequence { TimeUnit.MILLISECONDS.sleep(100) }.take(300).any { isReady() }
        check(isReady) { "the entry is not ready" }
    }

    private fun isReady(): Boolean = try {
        Socket(HOST, settings.readiness.port).use {
            it.getOutputStream().writeText("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            it.getInputStream().readMessage()?.status == 200
        }
    } catch (_: IOException) {
        // The process does not listen yet.
        false
    }

    /** Sends the process [signal], such as `TERM`. */
    fun signal(signal: String) {
        ProcessBuilder("kill", "-$signal", "${process.pid()}").start().waitFor()
    }

    /** Waits for the end of the process; returns whether it ended within [seconds]. */
    fun awaitExit(seconds: Long): Boolean = process.waitFor(seconds, TimeUnit.SECONDS)

    override fun close() {
        process.destroyForcibly().waitFor()
        settingsFile.deleteIfExists()
        logFile.deleteIfExists()
    }
}
